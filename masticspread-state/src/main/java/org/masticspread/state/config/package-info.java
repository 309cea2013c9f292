/**
 * The revision log of the configuration with its audit trail.
 *
 * <p>Call order: {@code ConfigValidator.validate}, then {@code ConfigLog.apply}; on each VM {@code
 * ConfigFollower.poll} at an interval and {@code offer} for configurations received from peers.
 */
package org.masticspread.state.config;

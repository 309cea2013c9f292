/**
 * Checks the guarantees of the cluster against a history of events observed by callers, endpoints,
 * workers and VMs.
 */
package org.masticspread.state.history;

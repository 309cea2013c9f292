/**
 * Checks the promises of the cluster against a history of what callers, endpoints, workers and VMs
 * saw.
 */
package org.masticspread.state.history;

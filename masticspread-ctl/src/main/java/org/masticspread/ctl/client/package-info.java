/**
 * The client of a node's HTTP interface; {@link org.masticspread.ctl.client.ApiClient} is its
 * entry.
 */
package org.masticspread.ctl.client;

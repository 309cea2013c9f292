/**
 * The client of the HTTP API of a node; {@link org.masticspread.ctl.client.ApiClient} is its entry
 * point.
 */
package org.masticspread.ctl.client;

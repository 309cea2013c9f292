/** What a cell calls: the store, the workers and the advisor. All calls are asynchronous. */
package org.masticspread.cell.port;

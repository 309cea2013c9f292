/**
 * Ports through which a cell calls the store, the workers and the advisor; all are asynchronous.
 */
package org.masticspread.cell.port;

/** Simulates heavy load on a cell and measures the value that callers earn. */
package org.masticspread.cell.load;

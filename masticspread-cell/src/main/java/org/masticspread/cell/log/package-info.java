/** Structured log lines of decisions and of changes in the known state of the cell. */
package org.masticspread.cell.log;

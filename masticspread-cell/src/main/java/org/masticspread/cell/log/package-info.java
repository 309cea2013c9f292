/** Structured log lines of decisions and of changes of belief. */
package org.masticspread.cell.log;

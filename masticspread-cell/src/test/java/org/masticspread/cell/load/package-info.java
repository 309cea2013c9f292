/** Plays the load of heavy days on a cell and measures what callers get. */
package org.masticspread.cell.load;

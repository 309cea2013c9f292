/** Which VM leads the cell: the row that names it, its watch by the others, and the takeover. */
package org.masticspread.cell.lead;

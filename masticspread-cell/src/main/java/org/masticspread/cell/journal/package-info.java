/** The durable state of a cell: its rows, their encoding and the commits that write them. */
package org.masticspread.cell.journal;

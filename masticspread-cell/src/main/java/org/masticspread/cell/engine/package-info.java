/** The scheduler of a cell: its jobs, its workers and what runs where. */
package org.masticspread.cell.engine;

/** The scheduler of a cell, with its jobs, workers and runs. */
package org.masticspread.cell.engine;

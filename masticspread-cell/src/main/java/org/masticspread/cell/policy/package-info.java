/** Scheduling policies of a cell: deterministic logic without network access or clocks. */
package org.masticspread.cell.policy;

/** Leader election: the leader row, failure detection by the other VMs, and handover. */
package org.masticspread.cell.lead;

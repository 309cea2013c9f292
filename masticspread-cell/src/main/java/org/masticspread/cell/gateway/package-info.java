/** Takes the calls of callers at any VM and carries them to the leader of the cell. */
package org.masticspread.cell.gateway;

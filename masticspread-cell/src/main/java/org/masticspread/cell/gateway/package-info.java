/** Accepts calls at any VM and forwards them to the leader of the cell. */
package org.masticspread.cell.gateway;

/** Racks: ledger, leases and worker reports. */
package org.masticspread.node.rack;

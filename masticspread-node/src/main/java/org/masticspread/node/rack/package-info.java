/** Rack owners: ledgers, leases and worker reports. */
package org.masticspread.node.rack;

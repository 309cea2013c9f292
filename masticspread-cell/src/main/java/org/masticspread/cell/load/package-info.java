/** Measures the network traffic and processing time of a VM, and adapts timeouts to its load. */
package org.masticspread.cell.load;

/** What a VM sends, receives and computes, and what follows when that is too much. */
package org.masticspread.cell.load;

/** The decisions of a cell: pure functions of facts, without network and clock. */
package org.masticspread.cell.policy;

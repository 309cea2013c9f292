/** Decisions and their reasons, for operators. */
package org.masticspread.node.explain;

/** Logged decisions with their reasons, for operators. */
package org.masticspread.node.explain;

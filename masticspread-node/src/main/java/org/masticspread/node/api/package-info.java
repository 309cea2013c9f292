/** HTTP interface for callers and operators. */
package org.masticspread.node.api;

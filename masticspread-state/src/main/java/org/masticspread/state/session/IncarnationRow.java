package org.masticspread.state.session;

/**
 * The last incarnation number of a VM. The row is never deleted, so that no number is ever reused.
 *
 * @param last the last incarnation number
 */
record IncarnationRow(long last) {}

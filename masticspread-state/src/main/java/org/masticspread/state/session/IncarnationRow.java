package org.masticspread.state.session;

/**
 * The last incarnation number of a VM. The row is never deleted, so that no number is used twice.
 *
 * @param last the number
 */
record IncarnationRow(long last) {}

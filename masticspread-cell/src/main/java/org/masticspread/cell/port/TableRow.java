package org.masticspread.cell.port;

/**
 * A row of the store.
 *
 * @param table its table
 * @param part rows of one part are written by one transaction after another; may be empty
 * @param key its key within table and part
 * @param value the content; empty when the row is deleted
 * @param version of the transaction that wrote it
 * @param deleted whether the row was dropped; only in changes that are followed
 */
public record TableRow(
    String table, String part, String key, byte[] value, long version, boolean deleted) {}

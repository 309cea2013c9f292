package org.masticspread.cell.port;

/**
 * A row of the store.
 *
 * @param table its table
 * @param part its part; transactions on rows of one part are serialized; may be empty
 * @param key its key within table and part
 * @param value the content; empty if the row was deleted
 * @param version the version of the transaction that wrote the row
 * @param deleted whether the row was deleted; set only in changes that are followed
 */
public record TableRow(
    String table, String part, String key, byte[] value, long version, boolean deleted) {}

package org.masticspread.model.platform;

import org.masticspread.model.work.Payload;

/**
 * A write of a transaction.
 *
 * @param key the key of the row
 * @param value the new content; null to delete the row
 */
public record Mutation(String key, Payload value) {

  /**
   * Creates a write of a row.
   *
   * @param key the key
   * @param value the content
   * @return the write
   */
  public static Mutation put(String key, Payload value) {
    return new Mutation(key, value);
  }

  /**
   * Creates a deletion of a row.
   *
   * @param key the key
   * @return the write
   */
  public static Mutation delete(String key) {
    return new Mutation(key, null);
  }
}

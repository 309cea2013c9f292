package org.masticspread.model.platform;

import java.util.List;
import java.util.Optional;

/** The platform's transactional table service. Keys are ordered by their characters. */
public interface TableService {
  /**
   * Reads a row.
   *
   * @param key the key
   * @return the row, or empty if it is absent
   * @throws StoreException if the service does not answer
   */
  Optional<Row> read(String key) throws StoreException;

  /**
   * Reads rows in the order of their keys.
   *
   * @param prefix the prefix of the keys
   * @param after only keys greater than this one; empty for all
   * @param limit the most rows to return, at least 1
   * @return the rows
   * @throws StoreException if the service does not answer
   */
  List<Row> scan(String prefix, String after, int limit) throws StoreException;

  /**
   * Writes rows if every condition holds. Every written row gets its former version plus 1.
   *
   * @param transaction conditions and writes
   * @throws ConditionFailedException if a condition does not hold; nothing was written
   * @throws StoreException if the service does not answer; its effect tells whether the writes may
   *     have taken effect
   */
  void commit(Transaction transaction) throws StoreException, ConditionFailedException;
}

package org.masticspread.model.platform;

import java.util.List;
import java.util.Optional;

/** The transactional table service of the platform. Keys are in lexicographic order. */
public interface TableService {
  /**
   * Reads a row.
   *
   * @param key the key
   * @return the row, or empty if it is absent
   * @throws StoreException if the call fails
   */
  Optional<Row> read(String key) throws StoreException;

  /**
   * Reads rows in the order of their keys.
   *
   * @param prefix the prefix of the keys
   * @param after only keys greater than this one; empty for all
   * @param limit the maximum number of rows to return, at least 1
   * @return the rows
   * @throws StoreException if the call fails
   */
  List<Row> scan(String prefix, String after, int limit) throws StoreException;

  /**
   * Commits writes atomically if all conditions hold. The version of each written row increases by
   * 1.
   *
   * @param transaction the conditions and writes
   * @throws ConditionFailedException if a condition does not hold; nothing was written
   * @throws StoreException if the call fails; its effect shows whether the writes may have been
   *     committed
   */
  void commit(Transaction transaction) throws StoreException, ConditionFailedException;
}

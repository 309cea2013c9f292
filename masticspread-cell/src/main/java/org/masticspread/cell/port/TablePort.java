package org.masticspread.cell.port;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;

/** The platform's transactional store. */
public interface TablePort {
  /**
   * Writes rows if each condition holds. Never fails: every outcome is a result.
   *
   * @param commit the transaction
   * @return the outcome
   */
  Single<CommitResult> commit(TableCommit commit);

  /**
   * Reads rows of a part. Fails with a {@link StoreReadException} when the store does not answer.
   *
   * @param table the table
   * @param part the part
   * @param from the first key; empty for all
   * @param limit the most rows of the answer
   * @return the rows as of one moment
   */
  Single<RowPage> read(String table, String part, String from, int limit);

  /**
   * Waits for changes of a table. Fails with a {@link StoreReadException} when the store does not
   * answer or no longer has the changes.
   *
   * @param table the table
   * @param after the version up to which changes are known
   * @param wait how long to wait for a change
   * @return the changes, in order; none when the wait ended
   */
  Single<RowPage> follow(String table, long after, Duration wait);
}

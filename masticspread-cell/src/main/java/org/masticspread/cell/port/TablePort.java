package org.masticspread.cell.port;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;

/** The platform's transactional store. */
public interface TablePort {
  /**
   * Commits a transaction if all its conditions hold. Never fails: every outcome is a result.
   *
   * @param commit the transaction
   * @return the result
   */
  Single<CommitResult> commit(TableCommit commit);

  /**
   * Reads rows of a part. Fails with a {@link StoreReadException} if the store does not answer.
   *
   * @param table the table
   * @param part the part
   * @param from the first key; empty for all
   * @param limit the maximum number of rows to return
   * @return a consistent page of rows
   */
  Single<RowPage> read(String table, String part, String from, int limit);

  /**
   * Waits for changes of a table. Fails with a {@link StoreReadException} if the store does not
   * answer or no longer holds the changes.
   *
   * @param table the table
   * @param after the version up to which changes are known
   * @param wait the maximum time to wait for a change
   * @param margin the additional time after which the store counts as not answering
   * @return the changes in order; none if the wait timed out
   */
  Single<RowPage> follow(String table, long after, Duration wait, Duration margin);
}

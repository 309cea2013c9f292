package org.masticspread.node.job;

import java.time.Instant;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.state.shard.JournalRecord;

/** Makes changes of work shards durable and applies them. */
@FunctionalInterface
public interface ShardJournal {
  /**
   * Appends a record.
   *
   * @param shard the shard
   * @param epoch the epoch under which this VM owns it
   * @param record the change
   * @param deadline until when the append may be retried while the store is unavailable
   * @return a stage that completes when the record is durable and applied; fails with a {@link
   *     MasticspreadException} whose code is in the not-run family only if it was certainly not
   *     written
   */
  CompletionStage<Void> append(ShardId shard, long epoch, JournalRecord record, Instant deadline);

  /**
   * Returns the result code behind a failed append.
   *
   * @param thrown the failure of the stage
   * @return the code; {@code OUTCOME_UNKNOWN} for an unexpected exception
   */
  static ResultCode codeOf(Throwable thrown) {
    Throwable cause = thrown;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause instanceof MasticspreadException known ? known.code() : ResultCode.OUTCOME_UNKNOWN;
  }

  /**
   * Returns whether a failed append certainly wrote nothing.
   *
   * @param thrown the failure of the stage
   * @return whether nothing was written
   */
  static boolean isCertainlyNotWritten(Throwable thrown) {
    return codeOf(thrown).runState() == RunState.NOT_RUN;
  }
}

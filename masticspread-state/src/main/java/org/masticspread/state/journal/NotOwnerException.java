package org.masticspread.state.journal;

import org.masticspread.model.id.ShardId;
import org.masticspread.model.result.ResultCode;

/**
 * A record was appended for a shard that this VM does not hold under the given epoch. The record
 * was not written.
 */
public final class NotOwnerException extends AppendException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param shard the shard
   * @param epoch the epoch given for the record
   */
  public NotOwnerException(ShardId shard, long epoch) {
    super(ResultCode.NOT_OWNER, true, shard + " is not held under epoch " + epoch);
  }
}

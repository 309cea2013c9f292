package org.masticspread.state.journal;

import org.masticspread.model.id.ShardId;
import org.masticspread.model.result.ResultCode;

/** A record of a shard that this VM does not hold under that epoch; it is not written. */
public final class NotOwnerException extends AppendException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an error.
   *
   * @param shard the shard
   * @param epoch the epoch under which it was to be written
   */
  public NotOwnerException(ShardId shard, long epoch) {
    super(ResultCode.NOT_OWNER, true, shard + " is not held under epoch " + epoch);
  }
}

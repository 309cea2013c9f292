package org.masticspread.state.shard;

import java.time.Instant;
import java.util.List;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.TaskPhase;

/**
 * The durable content of a work shard, in a fixed order.
 *
 * @param shard the shard
 * @param jobs the jobs by key
 * @param requests the request records by key
 * @param expired the hashes of forgotten ids
 */
record ShardSnapshot(
    ShardId shard, List<JobRow> jobs, List<RequestRow> requests, List<HashBucket> expired) {
  /**
   * A job.
   *
   * @param spec the job as submitted
   * @param acceptedAt when it was accepted
   * @param tasks the tasks that are not in their first state
   * @param cancelReason why it was cancelled; null if it was not
   * @param parkReason why it is parked; null if it is not
   * @param endedAt when its last task ended; null while one has not
   */
  record JobRow(
      JobSpec spec,
      Instant acceptedAt,
      List<TaskRow> tasks,
      String cancelReason,
      String parkReason,
      Instant endedAt) {}

  /**
   * A task.
   *
   * @param index the position in the job
   * @param phase its durable phase
   * @param attempt the last attempt in the journal
   * @param tries how often it was returned to wait
   * @param worker where it ran, may be null
   * @param reason why it is in this phase, may be null
   */
  record TaskRow(
      int index, TaskPhase phase, int attempt, int tries, WorkerId worker, String reason) {}

  /**
   * A request record.
   *
   * @param key the request
   * @param fingerprint the fingerprint of its content
   * @param startedAt when it was marked
   * @param code what became of it; null while not known
   * @param body the whole answer, null while not known
   * @param detail a short sentence, null while not known
   */
  record RequestRow(
      RequestKey key,
      long fingerprint,
      Instant startedAt,
      ResultCode code,
      Payload body,
      String detail) {}

  /**
   * Hashes of ids that were forgotten within an hour.
   *
   * @param hour the hour, counted from the epoch
   * @param hashes the hashes, 8 bytes each, in order
   */
  record HashBucket(long hour, Payload hashes) {}
}

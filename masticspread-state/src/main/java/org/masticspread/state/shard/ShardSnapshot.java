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
 * The durable content of a work shard in a deterministic order.
 *
 * @param shard the shard
 * @param jobs the jobs by key
 * @param requests the request records by key
 * @param expired the hashes of the ids of expired records
 */
record ShardSnapshot(
    ShardId shard, List<JobRow> jobs, List<RequestRow> requests, List<HashBucket> expired) {
  /**
   * A job.
   *
   * @param spec the job as submitted
   * @param acceptedAt when it was accepted
   * @param tasks the tasks that differ from a new task
   * @param cancelReason the reason of its cancellation; null if it was not cancelled
   * @param parkReason the reason why it is parked; null if it is not parked
   * @param endedAt when its last task ended; null while a task has not ended
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
   * @param index the index of the task in the job
   * @param phase its durable phase
   * @param attempt the last attempt in the journal
   * @param tries how often the task was returned to WAITING
   * @param worker the worker that ran the attempt, may be null
   * @param reason the reason for the phase, may be null
   */
  record TaskRow(
      int index, TaskPhase phase, int attempt, int tries, WorkerId worker, String reason) {}

  /**
   * A request record.
   *
   * @param key the request
   * @param fingerprint the fingerprint of its content
   * @param startedAt when it was marked as started
   * @param code the result code; null while not known
   * @param body the body of the answer; null while not known
   * @param detail the detail as a short sentence; null while not known
   */
  record RequestRow(
      RequestKey key,
      long fingerprint,
      Instant startedAt,
      ResultCode code,
      Payload body,
      String detail) {}

  /**
   * Hashes of the ids of records that expired within the same hour.
   *
   * @param hour the hours since the Unix epoch
   * @param hashes the sorted hashes, 8 bytes each
   */
  record HashBucket(long hour, Payload hashes) {}
}

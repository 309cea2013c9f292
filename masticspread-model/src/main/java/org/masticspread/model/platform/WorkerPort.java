package org.masticspread.model.platform;

import java.time.Instant;
import java.util.List;
import org.masticspread.model.id.WorkerId;

/**
 * The calls to a worker. Each carries the epoch of the rack shard as a fencing token; a worker
 * refuses an epoch lower than the highest it has seen with {@link
 * WorkerException.Reason#STALE_EPOCH}.
 */
public interface WorkerPort {
  /**
   * Announces an epoch to a worker, which refuses lower ones from then on, and reads its report.
   *
   * @param worker the worker
   * @param rackEpoch the epoch
   * @return the report of the worker
   * @throws WorkerException if the worker refuses or does not answer
   */
  WorkerReport seal(WorkerId worker, long rackEpoch) throws WorkerException;

  /**
   * Starts a task under a lease.
   *
   * @param worker the worker
   * @param rackEpoch the epoch
   * @param start the task
   * @throws WorkerException if the worker refuses or does not answer
   */
  void start(WorkerId worker, long rackEpoch, StartTask start) throws WorkerException;

  /**
   * Renews the leases of all running tasks, acknowledges ended tasks and reads the report of the
   * worker. A late renewal never extends a lease past the given instant.
   *
   * @param worker the worker
   * @param rackEpoch the epoch
   * @param leaseUntil when the leases expire unless they are renewed again
   * @param acknowledged the ended attempts that the worker may discard
   * @return the report of the worker
   * @throws WorkerException if the worker refuses or does not answer
   */
  WorkerReport renew(
      WorkerId worker, long rackEpoch, Instant leaseUntil, List<TaskAttempt> acknowledged)
      throws WorkerException;

  /**
   * Stops, checkpoints or throttles a task. Has no effect if the worker does not run it.
   *
   * @param worker the worker
   * @param rackEpoch the epoch
   * @param task the attempt
   * @param order the order
   * @throws WorkerException if the worker refuses or does not answer
   */
  void order(WorkerId worker, long rackEpoch, TaskAttempt task, TaskOrder order)
      throws WorkerException;
}

package org.masticspread.model.platform;

import java.time.Instant;
import java.util.List;
import org.masticspread.model.id.WorkerId;

/**
 * The orders that a worker obeys. Each carries the epoch of the rack shard; a worker refuses an
 * epoch lower than the highest it has seen with {@link WorkerException.Reason#STALE_EPOCH}.
 */
public interface WorkerPort {
  /**
   * Shows an epoch to a worker, which refuses lower ones from then on, and reads what it holds.
   *
   * @param worker the worker
   * @param rackEpoch the epoch
   * @return what the worker holds
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
   * Renews the leases of all running tasks, acknowledges ended ones and reads what remains. A
   * renewal that arrives late extends no lease past its instant.
   *
   * @param worker the worker
   * @param rackEpoch the epoch
   * @param leaseUntil when the leases lapse unless they are renewed again
   * @param acknowledged ended attempts that the worker may forget
   * @return what the worker holds
   * @throws WorkerException if the worker refuses or does not answer
   */
  WorkerReport renew(
      WorkerId worker, long rackEpoch, Instant leaseUntil, List<TaskAttempt> acknowledged)
      throws WorkerException;

  /**
   * Stops, checkpoints or throttles a task; does nothing if the task is not there.
   *
   * @param worker the worker
   * @param rackEpoch the epoch
   * @param task the attempt
   * @param order what to do
   * @throws WorkerException if the worker refuses or does not answer
   */
  void order(WorkerId worker, long rackEpoch, TaskAttempt task, TaskOrder order)
      throws WorkerException;
}

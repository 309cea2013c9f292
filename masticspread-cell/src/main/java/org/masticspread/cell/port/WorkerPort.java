package org.masticspread.cell.port;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The port to the workers. Calls never fail: every outcome is a result.
 *
 * <p>Starts, and renewals that grant a lease or acknowledge ends, are made for one incarnation of
 * the worker. No other incarnation gets them, not even one that starts under the same id while the
 * call is on its way.
 */
public interface WorkerPort {
  /**
   * Starts a task.
   *
   * @param worker the worker
   * @param order the start order
   * @return the outcome
   */
  Single<OrderResult> start(WorkerEntry worker, Start order);

  /**
   * Stops a run, even if its start order has not arrived yet.
   *
   * @param worker the worker
   * @param task the full name of the task
   * @param run the number of the run
   * @param token the fencing token
   * @return the outcome
   */
  Single<OrderResult> stop(WorkerEntry worker, String task, long run, long token);

  /**
   * Throttles a run to a share of its speed.
   *
   * @param worker the worker
   * @param task the full name of the task
   * @param run the number of the run
   * @param percent the share, 0 to 100
   * @param token the fencing token
   * @return the outcome
   */
  Single<OrderResult> throttle(WorkerEntry worker, String task, long run, int percent, long token);

  /**
   * Renews the lease of all runs on a worker and reads their state. If another incarnation answers
   * than the one that the renewal is for, it gets neither lease nor acknowledgement, and only tells
   * what it runs.
   *
   * @param worker the worker
   * @param renewal the renewal
   * @return the outcome and, if the worker accepted the renewal, what it runs
   */
  Single<RenewResult> renew(WorkerEntry worker, Renewal renewal);

  /**
   * An order to start a task.
   *
   * @param task the full name of the task
   * @param run the number of this run
   * @param payload the payload passed to the task
   * @param leaseUntilMillis the end of the lease, on the worker's clock
   * @param token the fencing token
   * @param checkpoint the checkpoint to resume from; empty for a fresh start
   * @param ticket the advisor's ticket; empty for none
   * @param incarnation the incarnation of the worker that gets the order, and no other
   */
  record Start(
      String task,
      long run,
      String payload,
      long leaseUntilMillis,
      long token,
      String checkpoint,
      String ticket,
      long incarnation) {}

  /**
   * A lease renewal.
   *
   * @param leaseUntilMillis the new end of the lease, on the worker's clock; empty to leave it
   *     unchanged
   * @param token the fencing token
   * @param acknowledged the highest number of an ended run that the worker may forget
   * @param maxWait the maximum time that the worker waits for a run to end before it answers
   * @param incarnation the incarnation of the worker that gets the lease and the acknowledgement,
   *     and no other
   */
  record Renewal(
      OptionalLong leaseUntilMillis,
      long token,
      long acknowledged,
      Duration maxWait,
      long incarnation) {
    /**
     * Returns whether it does no harm at another incarnation.
     *
     * @return whether it neither grants a lease nor acknowledges ends
     */
    public boolean readsOnly() {
      return leaseUntilMillis.isEmpty() && acknowledged == 0;
    }
  }

  /**
   * The result of a renewal.
   *
   * @param outcome the outcome
   * @param view what the worker runs, if it answered
   */
  record RenewResult(Outcome outcome, Optional<WorkerView> view) {}

  /**
   * The result of an order.
   *
   * @param outcome the outcome
   * @param clockMillis the worker's monotonic clock; empty if unknown
   */
  record OrderResult(Outcome outcome, OptionalLong clockMillis) {
    /**
     * Returns a result without a clock.
     *
     * @param outcome the outcome
     * @return the result
     */
    public static OrderResult of(Outcome outcome) {
      return new OrderResult(outcome, OptionalLong.empty());
    }
  }

  /** The outcome of an order. */
  enum Outcome {
    /** Carried out, now or earlier. */
    DONE,
    /** Refused: the worker has seen a higher fencing token. */
    FENCED,
    /** Refused: the worker has already seen this run or a later one. */
    OUTDATED,
    /** Refused: the order arrived after the end of its lease. */
    TOO_LATE,
    /** Refused: the task does not fit. */
    NO_ROOM,
    /** Refused: the ticket is not valid. */
    NO_TICKET,
    /** Refused by an unhealthy worker; nothing was done. */
    UNHEALTHY,
    /** Not carried out: another incarnation of the worker answered. */
    OTHER_LIFE,
    /** Refused as malformed. */
    REJECTED,
    /** Definitely not sent. */
    NOT_SENT,
    /** No answer arrived; the order may be carried out, even later. */
    UNKNOWN
  }
}

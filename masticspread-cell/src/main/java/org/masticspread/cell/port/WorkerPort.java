package org.masticspread.cell.port;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/** Calls to workers. No call fails: every outcome is a result. */
public interface WorkerPort {
  /**
   * Starts a task.
   *
   * @param worker the worker
   * @param order the start
   * @return what became of it
   */
  Single<OrderResult> start(WorkerEntry worker, Start order);

  /**
   * Stops a run, also one that has not arrived yet.
   *
   * @param worker the worker
   * @param task the task's full name
   * @param run the run
   * @param token the fencing token
   * @return what became of it
   */
  Single<OrderResult> stop(WorkerEntry worker, String task, long run, long token);

  /**
   * Lets a run work at a share of its speed.
   *
   * @param worker the worker
   * @param task the task's full name
   * @param run the run
   * @param percent the share, 0 to 100
   * @param token the fencing token
   * @return what became of it
   */
  Single<OrderResult> throttle(WorkerEntry worker, String task, long run, int percent, long token);

  /**
   * Renews the lease of all that runs on a worker, and reads what runs.
   *
   * @param worker the worker
   * @param renewal the call
   * @return what it runs; empty when it did not answer or refused
   */
  Single<RenewResult> renew(WorkerEntry worker, Renewal renewal);

  /**
   * A start.
   *
   * @param task the task's full name
   * @param run the number of this start
   * @param payload passed to the task
   * @param leaseUntilMillis until when it may run, on the worker's clock
   * @param token the fencing token
   * @param checkpoint where to resume; empty for a fresh start
   * @param ticket the advisor's ticket; empty for none
   */
  record Start(
      String task,
      long run,
      String payload,
      long leaseUntilMillis,
      long token,
      String checkpoint,
      String ticket) {}

  /**
   * A renewal.
   *
   * @param leaseUntilMillis until when all may run, on the worker's clock; empty to leave it
   * @param token the fencing token
   * @param acknowledged the ends up to this number may be forgotten
   * @param maxWait how long the worker may wait for an end before it answers
   */
  record Renewal(OptionalLong leaseUntilMillis, long token, long acknowledged, Duration maxWait) {}

  /**
   * The outcome of a renewal.
   *
   * @param outcome what became of it
   * @param view what the worker runs, if it answered
   */
  record RenewResult(Outcome outcome, Optional<WorkerView> view) {}

  /**
   * The outcome of an order.
   *
   * @param outcome what became of it
   * @param clockMillis the worker's steady clock; empty when it did not tell
   */
  record OrderResult(Outcome outcome, OptionalLong clockMillis) {
    /**
     * Returns an outcome without a clock.
     *
     * @param outcome the outcome
     * @return the result
     */
    public static OrderResult of(Outcome outcome) {
      return new OrderResult(outcome, OptionalLong.empty());
    }
  }

  /** What became of an order. */
  enum Outcome {
    /** Done, now or before. */
    DONE,
    /** Refused: a higher token was seen. */
    FENCED,
    /** Refused: this run or a higher one was there before. */
    OUTDATED,
    /** Refused: it came after its lease. */
    TOO_LATE,
    /** Refused: no room. */
    NO_ROOM,
    /** Refused: the ticket does not hold. */
    NO_TICKET,
    /** Refused by a worker in trouble; nothing was done. */
    UNHEALTHY,
    /** Refused: another life of the worker answered. */
    OTHER_LIFE,
    /** Refused as malformed. */
    REJECTED,
    /** Certainly not sent. */
    NOT_SENT,
    /** No answer came; it may be carried out, also later. */
    UNKNOWN
  }
}

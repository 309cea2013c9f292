package org.masticspread.cell.engine;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.masticspread.cell.port.AdvisorPort;
import org.masticspread.model.cell.AdviceRule;
import org.masticspread.model.peer.AdviceReply;

/** Sends requests for advice to the advisor, which serves one call at a time for each VM. */
public interface AdviceDispatcher {
  /**
   * A request for advice on the workers of a step.
   *
   * @param step the full name of the step
   * @param workers the ids of the workers to ask about
   * @param rule the rule from which the duration of the call is computed
   * @param priority the priority of the queue; 0 is urgent
   * @param latestStartMillis the latest start at which the step still meets its objective, on the
   *     cell's clock
   * @param holdsReservation whether a gang keeps the capacity of these workers reserved until the
   *     answer
   * @param stillNeeded returns whether the answer is still needed; checked before the call is sent
   */
  record Request(
      String step,
      List<String> workers,
      AdviceRule rule,
      int priority,
      long latestStartMillis,
      boolean holdsReservation,
      BooleanSupplier stillNeeded) {
    Duration callTime() {
      return rule.callTime(workers.size());
    }
  }

  /** Calls the advisor like {@link AdvisorPort}, but from a given VM. */
  @FunctionalInterface
  interface AdvisorClient {
    /**
     * Asks which workers may run a step.
     *
     * @param vm the VM that makes the call
     * @param step the full name of the step
     * @param workers the ids of the workers to ask about
     * @param timeout how long to wait for the answer
     * @return the advice; never fails
     */
    Single<AdviceReply> ask(String vm, String step, List<String> workers, Duration timeout);
  }

  /**
   * Returns whether a new request would be answered soon.
   *
   * @param priority the priority of its queue
   * @return false if the requests ahead of it would take too long
   */
  boolean accepts(int priority);

  /**
   * Queues a request.
   *
   * @param request the request
   * @return the advice; never fails
   */
  Single<AdviceReply> submit(Request request);

  /**
   * Sends the pending requests for which a VM is idle. Called periodically, since the backoff of a
   * VM ends without an event.
   */
  default void dispatch() {}
}

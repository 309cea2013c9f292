package org.masticspread.cell.engine;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.masticspread.cell.port.AdvisorPort;
import org.masticspread.model.cell.AdviceRule;
import org.masticspread.model.peer.AdviceReply;

/** Brings questions to the advisor, which serves one call at a time of each VM. */
public interface AdviceDispatcher {
  /**
   * A question.
   *
   * @param step the step
   * @param workers the workers to ask about
   * @param rule how long a call takes
   * @param priority the priority of its queue; 0 is urgent
   * @param latestStartMillis when the step must start to meet its objective
   * @param holdsReservation whether a gang holds the room of these workers until the answer
   * @param stillNeeded whether the answer would still be of use
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

  /** Calls the advisor from a VM; as {@link AdvisorPort}, by way of another VM. */
  @FunctionalInterface
  interface AdvisorClient {
    /**
     * Asks which workers may run a step.
     *
     * @param vm the VM that calls
     * @param step the step
     * @param workers the workers to ask about
     * @param timeout how long to wait
     * @return the advice; never fails
     */
    Single<AdviceReply> ask(String vm, String step, List<String> workers, Duration timeout);
  }

  /**
   * Tells whether a question would be answered soon.
   *
   * @param priority the priority of its queue
   * @return false when those before it need too long
   */
  boolean accepts(int priority);

  /**
   * Asks a question.
   *
   * @param request the question
   * @return the advice; never fails
   */
  Single<AdviceReply> submit(Request request);

  /** Sends what can be sent; called now and then, since VMs come back after a pause. */
  default void dispatch() {}
}

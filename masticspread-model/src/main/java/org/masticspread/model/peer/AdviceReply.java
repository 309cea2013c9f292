package org.masticspread.model.peer;

import java.util.List;

/**
 * The answer of the advisor.
 *
 * @param answered whether the advisor answered; false if it was busy or did not answer
 * @param tickets the tickets for the approved workers
 * @param validityMillis how long the tickets are valid
 */
public record AdviceReply(boolean answered, List<Ticket> tickets, int validityMillis)
    implements PeerMessage {
  /** The reply if the advisor did not answer. */
  public static final AdviceReply NONE = new AdviceReply(false, List.of(), 0);

  /** Copies the list. */
  public AdviceReply {
    tickets = List.copyOf(tickets);
  }

  /**
   * The approval of a worker.
   *
   * @param worker the worker
   * @param code the code to present with each start of the step on that worker
   */
  public record Ticket(String worker, String code) {}
}

package org.masticspread.model.peer;

import java.util.List;

/**
 * What the advisor said.
 *
 * @param answered whether it gave a list; false when it was busy or did not answer
 * @param tickets the approved workers
 * @param validityMillis how long the tickets hold
 */
public record AdviceReply(boolean answered, List<Ticket> tickets, int validityMillis)
    implements PeerMessage {
  /** No list was given. */
  public static final AdviceReply NONE = new AdviceReply(false, List.of(), 0);

  /** Copies the list. */
  public AdviceReply {
    tickets = List.copyOf(tickets);
  }

  /**
   * An approval.
   *
   * @param worker the worker
   * @param code shown with each start of the step on that worker
   */
  public record Ticket(String worker, String code) {}
}

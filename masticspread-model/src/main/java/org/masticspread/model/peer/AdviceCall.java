package org.masticspread.model.peer;

import java.util.List;

/**
 * Asks a VM to call the advisor, which serves one call at a time per VM. Answered by {@link
 * AdviceReply}.
 *
 * @param step the name of the step at the advisor
 * @param workers the workers to ask about
 * @param timeoutMillis how long to wait for the advisor
 */
public record AdviceCall(String step, List<String> workers, int timeoutMillis)
    implements PeerMessage {

  /** Copies the list. */
  public AdviceCall {
    workers = List.copyOf(workers);
  }
}

package org.masticspread.model.peer;

import java.util.List;

/**
 * Answers {@link Explain}.
 *
 * @param decisions the decisions kept by the VM, oldest first
 */
public record Explained(List<Decision> decisions) implements PeerMessage {
  /** Copies the list. */
  public Explained {
    decisions = List.copyOf(decisions);
  }
}

package org.masticspread.model.peer;

import java.util.concurrent.CompletionStage;
import org.masticspread.model.id.VmId;

/** Handles the messages of other VMs. */
@FunctionalInterface
public interface PeerHandler {
  /**
   * Handles a message. If the stage fails, the caller gets an error answer and the connection stays
   * open.
   *
   * @param from the sender
   * @param message the message
   * @return the answer
   */
  CompletionStage<PeerMessage> handle(VmId from, PeerMessage message);
}

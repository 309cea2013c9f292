package org.masticspread.model.peer;

import java.util.concurrent.CompletionStage;
import org.masticspread.model.id.VmId;

/** Answers the messages of other VMs. */
@FunctionalInterface
public interface PeerHandler {
  /**
   * Handles a message. A stage that fails closes nothing; the caller gets an error answer.
   *
   * @param from the VM that sent it
   * @param message the message
   * @return the answer
   */
  CompletionStage<PeerMessage> handle(VmId from, PeerMessage message);
}

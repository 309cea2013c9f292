package org.masticspread.model.peer;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.id.VmId;

/** Sends messages to other VMs. */
@FunctionalInterface
public interface PeerPort {
  /**
   * Sends a message. The returned stage completes with the answer, or fails with a {@link
   * PeerException} if there is none.
   *
   * @param to the VM to call
   * @param message the message
   * @param timeout how long to wait for the answer
   * @return the answer
   */
  CompletionStage<PeerMessage> call(VmId to, PeerMessage message, Duration timeout);
}

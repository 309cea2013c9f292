package org.masticspread.model.peer;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.id.VmId;

/** Calls to other VMs. */
@FunctionalInterface
public interface PeerPort {
  /**
   * Sends a message and waits for its answer. The stage fails with a {@link PeerException} when no
   * answer came.
   *
   * @param to the VM to call
   * @param message the message
   * @param timeout how long to wait for the answer
   * @return the answer
   */
  CompletionStage<PeerMessage> call(VmId to, PeerMessage message, Duration timeout);
}

package org.masticspread.node.member;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerHandler;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.model.peer.PeerPort;

/**
 * Calls VMs, including this one, and checks the type of the answer.
 *
 * <p>Example: {@code calls.call(vm, new ReadJob(shard, job), JobAnswered.class, timeout)}.
 */
public final class PeerCalls {
  private final VmId self;
  private final PeerPort port;
  private final PeerHandler local;

  /**
   * Creates the calls.
   *
   * @param self this VM
   * @param port the port to other VMs
   * @param local the handler of calls to this VM
   */
  public PeerCalls(VmId self, PeerPort port, PeerHandler local) {
    this.self = self;
    this.port = port;
    this.local = local;
  }

  /**
   * Calls a VM.
   *
   * @param to the VM
   * @param message the message
   * @param answer the type of the answer
   * @param timeout the timeout
   * @param <T> the type of the answer
   * @return the answer; the stage fails with a {@link PeerException} if no answer of that type
   *     arrives
   */
  public <T extends PeerMessage> CompletionStage<T> call(
      VmId to, PeerMessage message, Class<T> answer, Duration timeout) {
    if (timeout.isNegative() || timeout.isZero()) {
      return CompletableFuture.failedFuture(
          new PeerException(false, "the deadline has passed before the call to " + to, null));
    }
    CompletionStage<PeerMessage> stage =
        to.equals(self) ? local.handle(self, message) : port.call(to, message, timeout);
    return stage.thenApply(m -> requireType(to, m, answer));
  }

  private static <T extends PeerMessage> T requireType(VmId to, PeerMessage m, Class<T> type) {
    if (type.isInstance(m)) {
      return type.cast(m);
    }
    String text = to + " answered with " + (m == null ? "nothing" : m.getClass().getSimpleName());
    throw new CompletionException(new PeerException(true, text, null));
  }

  /**
   * Returns the typed error behind a failed stage.
   *
   * @param thrown the failure of the stage
   * @return the error; an unexpected exception counts as possibly sent
   */
  public static PeerException errorOf(Throwable thrown) {
    Throwable cause = thrown;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause instanceof PeerException known
        ? known
        : new PeerException(true, "call failed: " + cause, cause);
  }
}

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
 * Calls VMs, this one included, and checks the kind of the answer.
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
   * @param port calls to other VMs
   * @param local answers calls to this VM
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
   * @param answer the kind of the answer
   * @param timeout how long to wait
   * @param <T> the kind of the answer
   * @return the answer; fails with a {@link PeerException} when none of that kind came
   */
  public <T extends PeerMessage> CompletionStage<T> call(
      VmId to, PeerMessage message, Class<T> answer, Duration timeout) {
    if (timeout.isNegative() || timeout.isZero()) {
      return CompletableFuture.failedFuture(
          new PeerException(false, "no time is left for a call to " + to, null));
    }
    CompletionStage<PeerMessage> stage =
        to.equals(self) ? local.handle(self, message) : port.call(to, message, timeout);
    return stage.thenApply(m -> requireKind(to, m, answer));
  }

  private static <T extends PeerMessage> T requireKind(VmId to, PeerMessage m, Class<T> kind) {
    if (kind.isInstance(m)) {
      return kind.cast(m);
    }
    String text = to + " answered with " + (m == null ? "nothing" : m.getClass().getSimpleName());
    throw new CompletionException(new PeerException(true, text, null));
  }

  /**
   * Returns the typed error behind a failed stage.
   *
   * @param thrown what the stage failed with
   * @return the error; a fault counts as possibly sent
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

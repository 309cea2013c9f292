package org.masticspread.wire.internal;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerMessage;

/** One call that waits for its answer; ends once. Thread-safe. */
final class PendingCall {
  private static final Runnable NOTHING = () -> {};

  private final int kind;
  private final byte[] body;
  private final Executor completions;
  private final Runnable whenEnded;
  private final CompletableFuture<PeerMessage> future = new CompletableFuture<>();
  private Disposable timer = Disposable.disposed();
  private Runnable forget = NOTHING;
  private boolean handedOver;
  private boolean ended;

  PendingCall(int kind, byte[] body, Executor completions, Runnable whenEnded) {
    this.kind = kind;
    this.body = body;
    this.completions = completions;
    this.whenEnded = whenEnded;
  }

  CompletableFuture<PeerMessage> future() {
    return future;
  }

  synchronized void timedBy(Disposable newTimer) {
    timer = newTimer;
    if (ended) {
      newTimer.dispose();
    }
  }

  /**
   * Returns whether it may be sent; if so, the peer may get it from now on. A call that has ended,
   * as certainly not sent, never may.
   */
  synchronized boolean handOver(Runnable newForget) {
    if (ended) {
      return false;
    }
    handedOver = true;
    forget = newForget;
    return true;
  }

  Frame frame(long id) {
    return new Frame(kind, id, 0, body);
  }

  void succeed(PeerMessage answer) {
    end(sent -> future.complete(answer));
  }

  /** Fails with what is known: certain as long as it was not handed over. */
  void fail(String detail) {
    end(sent -> future.completeExceptionally(new PeerException(sent, detail, null)));
  }

  void fail(boolean mayHaveBeenSent, String detail) {
    end(sent -> future.completeExceptionally(new PeerException(mayHaveBeenSent, detail, null)));
  }

  /** Fails since nobody listens at the peer's address. */
  void refuse(String detail) {
    end(sent -> future.completeExceptionally(PeerException.refused(detail)));
  }

  private void end(Consumer<Boolean> completion) {
    boolean sent;
    Runnable clean;
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      sent = handedOver;
      clean = forget;
      timer.dispose();
    }
    clean.run();
    whenEnded.run();
    complete(() -> completion.accept(sent));
  }

  /** Completes on this thread once the executor is shut down, so that no caller waits for good. */
  private void complete(Runnable completion) {
    try {
      completions.execute(completion);
    } catch (RejectedExecutionException e) {
      completion.run();
    }
  }
}

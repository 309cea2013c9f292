package org.masticspread.wire.internal;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerMessage;

/** One call that waits for its answer; ends once. Thread-safe. */
final class PendingCall {
  private final int kind;
  private final byte[] body;
  private final Executor completions;
  private final Runnable whenEnded;
  private final CompletableFuture<PeerMessage> future = new CompletableFuture<>();
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile Disposable timer = Disposable.disposed();
  private volatile boolean handedOver;

  PendingCall(int kind, byte[] body, Executor completions, Runnable whenEnded) {
    this.kind = kind;
    this.body = body;
    this.completions = completions;
    this.whenEnded = whenEnded;
  }

  CompletableFuture<PeerMessage> future() {
    return future;
  }

  boolean hasEnded() {
    return ended.get();
  }

  void timedBy(Disposable newTimer) {
    timer = newTimer;
    if (hasEnded()) {
      newTimer.dispose();
    }
  }

  /** Returns the frame; from now on the peer may get it. */
  Frame handOver(long id) {
    handedOver = true;
    return new Frame(kind, id, 0, body);
  }

  void succeed(PeerMessage answer) {
    end(() -> future.complete(answer));
  }

  /** Fails with what is known: certain as long as it was not handed over. */
  void fail(String detail) {
    fail(handedOver, detail);
  }

  void fail(boolean mayHaveBeenSent, String detail) {
    end(() -> future.completeExceptionally(new PeerException(mayHaveBeenSent, detail, null)));
  }

  private void end(Runnable completion) {
    if (ended.compareAndSet(false, true)) {
      timer.dispose();
      whenEnded.run();
      complete(completion);
    }
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

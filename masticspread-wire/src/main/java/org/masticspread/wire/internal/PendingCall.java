package org.masticspread.wire.internal;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerMessage;

/** A call waiting for its answer. It ends exactly once. Thread-safe. */
final class PendingCall {
  private static final Runnable NO_OP = () -> {};

  private final int kind;
  private final byte[] body;
  private final Executor completions;
  private final Runnable onEnd;
  private final CompletableFuture<PeerMessage> future = new CompletableFuture<>();
  private Disposable timer = Disposable.disposed();
  private Runnable onRemove = NO_OP;
  private boolean markedSent;
  private boolean ended;

  PendingCall(int kind, byte[] body, Executor completions, Runnable onEnd) {
    this.kind = kind;
    this.body = body;
    this.completions = completions;
    this.onEnd = onEnd;
  }

  CompletableFuture<PeerMessage> future() {
    return future;
  }

  synchronized void setTimeout(Disposable newTimer) {
    timer = newTimer;
    if (ended) {
      newTimer.dispose();
    }
  }

  /**
   * Marks the call as sent and returns true, unless it has already ended. From then on the peer may
   * receive the call. A call that ended before it was marked has certainly not been sent and must
   * not be sent any more.
   */
  synchronized boolean markSent(Runnable newOnRemove) {
    if (ended) {
      return false;
    }
    markedSent = true;
    onRemove = newOnRemove;
    return true;
  }

  Frame frame(long id) {
    return new Frame(kind, id, 0, body);
  }

  void succeed(PeerMessage answer) {
    end(sent -> future.complete(answer));
  }

  /**
   * Fails the call as certainly not sent if it was not marked as sent, and otherwise as possibly
   * sent.
   */
  void fail(String detail) {
    end(sent -> future.completeExceptionally(new PeerException(sent, detail, null)));
  }

  void fail(boolean mayHaveBeenSent, String detail) {
    end(sent -> future.completeExceptionally(new PeerException(mayHaveBeenSent, detail, null)));
  }

  /** Fails the call because no process listens at the peer's address. */
  void refuse(String detail) {
    end(sent -> future.completeExceptionally(PeerException.refused(detail)));
  }

  private void end(Consumer<Boolean> completion) {
    boolean sent;
    Runnable removal;
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      sent = markedSent;
      removal = onRemove;
      timer.dispose();
    }
    removal.run();
    onEnd.run();
    complete(() -> completion.accept(sent));
  }

  /**
   * Runs the completion on the executor, or on this thread if the executor has been shut down, so
   * that no caller waits forever.
   */
  private void complete(Runnable completion) {
    try {
      completions.execute(completion);
    } catch (RejectedExecutionException e) {
      completion.run();
    }
  }
}

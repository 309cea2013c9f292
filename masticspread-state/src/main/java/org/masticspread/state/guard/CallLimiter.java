package org.masticspread.state.guard;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticspread.state.internal.Backoff;

/** Decides whether a call may go to a store now. Thread-safe. */
final class CallLimiter {
  private final GuardSettings settings;
  private final Backoff backoff;
  private int limit;
  private int inFlight;
  private int failuresInRow;
  private boolean open;
  private long retryAt;
  private double retryTokens;

  CallLimiter(GuardSettings settings, UniformRandomProvider random) {
    this.settings = settings;
    this.backoff = new Backoff(settings.backoffBase(), settings.backoffMax(), random);
    this.limit = settings.maxConcurrent();
    this.retryTokens = settings.maxRetries();
  }

  synchronized boolean tryEnter(long now) {
    if (open && now - retryAt < 0) {
      return false;
    }
    if (inFlight >= limit) {
      return false;
    }
    inFlight++;
    return true;
  }

  /** Returns whether the call was slow. */
  synchronized boolean leave(boolean answered, long tookNanos, long now) {
    inFlight--;
    boolean slow = tookNanos > settings.slowAfter().toNanos();
    if (answered) {
      succeeded(slow);
    } else {
      failed(now);
    }
    return slow;
  }

  private void succeeded(boolean slow) {
    failuresInRow = 0;
    open = false;
    backoff.reset();
    retryTokens = Math.min(settings.maxRetries(), retryTokens + settings.retriesPerSuccess());
    limit = slow ? Math.max(1, limit / 2) : Math.min(settings.maxConcurrent(), limit * 2);
  }

  private void failed(long now) {
    failuresInRow++;
    if (open || failuresInRow >= settings.failuresToOpen()) {
      open = true;
      limit = 1;
      retryAt = now + backoff.nextNanos();
    }
  }

  synchronized boolean takeRetry() {
    if (open || retryTokens < 1) {
      return false;
    }
    retryTokens--;
    return true;
  }

  synchronized boolean isClosed() {
    return !open;
  }
}

package org.masticspread.state.guard;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticspread.state.internal.Backoff;

/**
 * Circuit breaker, adaptive concurrency limit and retry budget for calls to a store. Thread-safe.
 */
final class CallLimiter {
  private final GuardSettings settings;
  private final Backoff backoff;
  private int concurrencyLimit;
  private int inFlight;
  private int consecutiveFailures;
  private boolean open;
  private long retryAt;
  private double retryTokens;

  CallLimiter(GuardSettings settings, UniformRandomProvider random) {
    this.settings = settings;
    this.backoff = new Backoff(settings.backoffBase(), settings.backoffMax(), random);
    this.concurrencyLimit = settings.maxConcurrent();
    this.retryTokens = settings.maxRetries();
  }

  synchronized boolean tryAcquire(long now) {
    if (open && now - retryAt < 0) {
      return false;
    }
    if (inFlight >= concurrencyLimit) {
      return false;
    }
    inFlight++;
    return true;
  }

  /** Records the end of a call and returns whether the call was slow. */
  synchronized boolean release(boolean answered, long tookNanos, long now) {
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
    consecutiveFailures = 0;
    open = false;
    backoff.reset();
    retryTokens = Math.min(settings.maxRetries(), retryTokens + settings.retriesPerSuccess());
    concurrencyLimit =
        slow
            ? Math.max(1, concurrencyLimit / 2)
            : Math.min(settings.maxConcurrent(), concurrencyLimit * 2);
  }

  private void failed(long now) {
    consecutiveFailures++;
    if (open || consecutiveFailures >= settings.failuresToOpen()) {
      open = true;
      concurrencyLimit = 1;
      retryAt = now + backoff.nextNanos();
    }
  }

  synchronized boolean tryAcquireRetry() {
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

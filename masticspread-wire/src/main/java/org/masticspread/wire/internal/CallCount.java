package org.masticspread.wire.internal;

import java.time.Duration;

/** Counts the calls in flight, so that closing can wait for the last one. Thread-safe. */
final class CallCount {
  private int count;

  synchronized int value() {
    return count;
  }

  /** Adds a call and returns true, unless the number of calls in flight has reached the limit. */
  synchronized boolean tryAdd(int limit) {
    if (count >= limit) {
      return false;
    }
    count++;
    return true;
  }

  synchronized void remove() {
    count--;
    notifyAll();
  }

  /**
   * Waits until no call is in flight or the timeout expires, and returns the number of calls in
   * flight.
   */
  synchronized int awaitZero(Duration timeout) {
    long end = System.nanoTime() + timeout.toNanos();
    try {
      for (long left = timeout.toNanos(); count > 0 && left > 0; left = end - System.nanoTime()) {
        wait(Math.max(1, left / 1_000_000));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return count;
  }
}

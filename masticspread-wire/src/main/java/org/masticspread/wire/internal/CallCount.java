package org.masticspread.wire.internal;

import java.time.Duration;

/** Counts calls in flight, so that a close can wait for the last one. Thread-safe. */
final class CallCount {
  private int count;

  synchronized int value() {
    return count;
  }

  /** Adds a call unless that many are in flight. */
  synchronized boolean tryAdd(int most) {
    if (count >= most) {
      return false;
    }
    count++;
    return true;
  }

  synchronized void remove() {
    count--;
    notifyAll();
  }

  /** Waits until no call is in flight; returns how many are left after the longest time. */
  synchronized int awaitNone(Duration longest) {
    long end = System.nanoTime() + longest.toNanos();
    try {
      for (long left = longest.toNanos(); count > 0 && left > 0; left = end - System.nanoTime()) {
        wait(Math.max(1, left / 1_000_000));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return count;
  }
}

package org.masticspread.state.testing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A manually advanced clock whose wall time and monotonic time advance together. */
public final class VirtualClock implements InstantSource {
  private static final Instant START = Instant.parse("2026-12-04T10:00:00Z");
  private long nanos;

  /** Advances the clock. */
  public synchronized void advance(Duration time) {
    nanos += time.toNanos();
  }

  /** Returns monotonic nanoseconds. */
  public synchronized long nanos() {
    return nanos;
  }

  @Override
  public synchronized Instant instant() {
    return START.plusNanos(nanos);
  }
}

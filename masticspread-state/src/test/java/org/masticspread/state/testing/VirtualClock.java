package org.masticspread.state.testing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that only moves when told to; wall time and monotonic time move together. */
public final class VirtualClock implements InstantSource {
  private static final Instant START = Instant.parse("2026-12-04T10:00:00Z");
  private long nanos;

  /** Moves the clock on. */
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

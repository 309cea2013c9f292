package org.masticspread.ctl.measure.request;

import java.time.Instant;
import java.time.InstantSource;

/** A clock that a simulation sets. */
final class VirtualClock implements InstantSource {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private Instant now = START;

  void set(long nanos) {
    now = at(nanos);
  }

  static Instant at(long nanos) {
    return START.plusNanos(nanos);
  }

  @Override
  public Instant instant() {
    return now;
  }
}

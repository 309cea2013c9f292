package org.masticspread.policy.request.internal;

import java.time.Duration;
import java.time.Instant;

/** Converts times to nanoseconds since the epoch, saturated far in the future. */
final class Times {
  static final long NANOS_PER_SECOND = 1_000_000_000L;
  static final long NEVER = Long.MAX_VALUE / 4;
  private static final long LAST_SECOND = NEVER / NANOS_PER_SECOND - 1;

  private Times() {}

  static long nanos(Instant instant) {
    if (instant.getEpochSecond() >= LAST_SECOND) {
      return NEVER;
    }
    if (instant.getEpochSecond() < 0) {
      return 0;
    }
    return instant.getEpochSecond() * NANOS_PER_SECOND + instant.getNano();
  }

  static Duration untilPositive(long from, long to) {
    return Duration.ofNanos(Math.max(0, to - from));
  }
}

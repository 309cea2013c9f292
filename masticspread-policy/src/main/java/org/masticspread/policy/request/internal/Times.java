package org.masticspread.policy.request.internal;

import java.time.Duration;
import java.time.Instant;

/** Converts instants to nanoseconds since the epoch, saturating at {@link #NEVER}. */
final class Times {
  static final long NANOS_PER_SECOND = 1_000_000_000L;
  static final long NEVER = Long.MAX_VALUE / 4;
  private static final long MAX_SECOND = NEVER / NANOS_PER_SECOND - 1;

  private Times() {}

  static long nanos(Instant instant) {
    if (instant.getEpochSecond() >= MAX_SECOND) {
      return NEVER;
    }
    if (instant.getEpochSecond() < 0) {
      return 0;
    }
    return instant.getEpochSecond() * NANOS_PER_SECOND + instant.getNano();
  }

  static Duration untilOrZero(long from, long to) {
    return Duration.ofNanos(Math.max(0, to - from));
  }
}

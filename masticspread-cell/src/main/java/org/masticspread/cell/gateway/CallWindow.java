package org.masticspread.cell.gateway;

import java.time.Duration;
import java.time.InstantSource;

/**
 * An adaptive limit on the calls that a VM has in flight to the leader.
 *
 * <p>The window grows while answers are quick and shrinks when they are late. So calls that an
 * overloaded leader cannot handle wait or are refused at the VMs that received them, and a new
 * leader receives its load gradually.
 *
 * <pre>{@code
 * if (window.isOpen()) {
 *   window.sent();
 *   send(call).then(answer -> window.answered(latency));
 * }
 * }</pre>
 */
final class CallWindow {
  /** Enough for the call rate of one VM while each commit takes a second on a slow store. */
  static final int MIN_SIZE = 4;

  /** The size after a change of the leader. */
  static final int INITIAL_SIZE = 8;

  static final int MAX_SIZE = 256;

  /** A leader with spare capacity answers sooner, after a commit and a round trip. */
  static final Duration QUICK_ANSWER = Duration.ofMillis(200);

  /** A leader whose answers take longer than this is overloaded. */
  static final Duration SLOW_ANSWER = Duration.ofMillis(600);

  /** The minimum interval between shrinks, so that a burst of late answers counts once. */
  private static final Duration SHRINK_INTERVAL = Duration.ofMillis(300);

  private static final double SHRINK_FACTOR = 0.7;
  private static final double LATENCY_WEIGHT = 0.2;

  private final InstantSource clock;
  private double size = INITIAL_SIZE;
  private double meanLatencyMillis = QUICK_ANSWER.toMillis() / 4.0;
  private int inFlight;
  private long lastShrinkMillis = Long.MIN_VALUE / 2;

  CallWindow(InstantSource clock) {
    this.clock = clock;
  }

  /** Tells whether another call may be sent. */
  boolean isOpen() {
    return inFlight < (int) size;
  }

  void sent() {
    inFlight++;
  }

  /** Records that a call was answered. */
  void answered(Duration latency) {
    inFlight--;
    meanLatencyMillis += LATENCY_WEIGHT * (latency.toMillis() - meanLatencyMillis);
    if (latency.compareTo(QUICK_ANSWER) <= 0) {
      size = Math.min(MAX_SIZE, size + 1);
    } else if (latency.compareTo(SLOW_ANSWER) > 0) {
      shrink(size * SHRINK_FACTOR);
    }
  }

  /** Records that a call was not answered before its timeout. */
  void unanswered() {
    inFlight--;
    shrink(MIN_SIZE);
  }

  /** Records that a call to a former leader is no longer waited for. */
  void abandoned() {
    inFlight--;
  }

  private void shrink(double to) {
    long now = clock.millis();
    if (now - lastShrinkMillis >= SHRINK_INTERVAL.toMillis()) {
      lastShrinkMillis = now;
      size = Math.max(MIN_SIZE, to);
    }
  }

  /** Resets the size, as another VM leads. */
  void reset() {
    size = INITIAL_SIZE;
  }

  int size() {
    return (int) size;
  }

  /** Returns the expected wait of a call behind a number of others. */
  Duration expectedWait(int callsAhead) {
    return Duration.ofMillis((long) (callsAhead * meanLatencyMillis / Math.max(1, size)));
  }
}

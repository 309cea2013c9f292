package org.masticspread.cell.gateway;

import java.time.Duration;
import java.time.InstantSource;

/**
 * How many calls a VM has on their way to the leader at once.
 *
 * <p>Answers overload of the leader and the time after a change of the leader: the window grows
 * while answers come quickly and shrinks when they come late, so that what a slow leader cannot
 * take waits, or is refused, at the VMs that took it in, and a new leader gets it bit by bit.
 *
 * <pre>{@code
 * if (window.open()) {
 *   window.sent();
 *   send(call).then(answer -> window.answered(took));
 * }
 * }</pre>
 */
final class CallWindow {
  /** Enough for the rate of one VM while each commit takes a second on a slow store. */
  static final int LEAST = 4;

  /** After a change of the leader. */
  static final int FIRST = 8;

  static final int MOST = 256;

  /** An answer of a leader that has room takes less: a commit and two ways. */
  static final Duration QUICK = Duration.ofMillis(200);

  /** A leader whose answers take longer is behind. */
  static final Duration SLOW = Duration.ofMillis(600);

  /** Late answers of one moment count once. */
  private static final Duration SHRINK_PAUSE = Duration.ofMillis(300);

  private static final double SHRINK = 0.7;
  private static final double TOOK_WEIGHT = 0.2;

  private final InstantSource clock;
  private double size = FIRST;
  private double tookMillis = QUICK.toMillis() / 4.0;
  private int open;
  private long shrunkMillis = Long.MIN_VALUE / 2;

  CallWindow(InstantSource clock) {
    this.clock = clock;
  }

  /** Tells whether one more call may be sent. */
  boolean open() {
    return open < (int) size;
  }

  void sent() {
    open++;
  }

  /** A call was answered. */
  void answered(Duration took) {
    open--;
    tookMillis += TOOK_WEIGHT * (took.toMillis() - tookMillis);
    if (took.compareTo(QUICK) <= 0) {
      size = Math.min(MOST, size + 1);
    } else if (took.compareTo(SLOW) > 0) {
      shrink(size * SHRINK);
    }
  }

  /** A call got no answer. */
  void lost() {
    open--;
    shrink(LEAST);
  }

  /** A call is not waited for any more, as it was sent to a former leader. */
  void abandoned() {
    open--;
  }

  private void shrink(double to) {
    long now = clock.millis();
    if (now - shrunkMillis >= SHRINK_PAUSE.toMillis()) {
      shrunkMillis = now;
      size = Math.max(LEAST, to);
    }
  }

  /** Another VM leads. */
  void restart() {
    size = FIRST;
  }

  int size() {
    return (int) size;
  }

  /** Returns how long a call waits that comes after some others. */
  Duration waitBehind(int others) {
    return Duration.ofMillis((long) (others * tookMillis / Math.max(1, size)));
  }
}

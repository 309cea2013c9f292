package org.masticspread.platform.standin;

import java.time.Duration;

/** Waits on behalf of a slow call; a virtual clock advances instead of blocking. */
@FunctionalInterface
public interface Pause {
  /** Waits in real time. */
  Pause REAL = Pause::sleep;

  /**
   * Waits.
   *
   * @param time the time to wait
   */
  void pause(Duration time);

  private static void sleep(Duration time) {
    try {
      Thread.sleep(time.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

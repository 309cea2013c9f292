package org.masticspread.platform.standin;

import java.time.Duration;

/** Lets a slow call wait; a virtual clock moves on instead. */
@FunctionalInterface
public interface Pause {
  /** Waits in real time. */
  Pause REAL = Pause::sleep;

  /**
   * Waits.
   *
   * @param time how long
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

package org.masticspread.cell.port;

import java.time.Duration;

/** Runs something later, on the thread that the cell is confined to. */
@FunctionalInterface
public interface Timers {
  /**
   * Schedules an action.
   *
   * @param delay how long to wait; zero to run it after what runs now
   * @param action the action
   */
  void after(Duration delay, Runnable action);
}

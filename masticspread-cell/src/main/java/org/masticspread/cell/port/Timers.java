package org.masticspread.cell.port;

import java.time.Duration;

/** A scheduler of actions on the thread that the cell is confined to. */
@FunctionalInterface
public interface Timers {
  /**
   * Schedules an action.
   *
   * @param delay the delay; zero to run the action after the current one
   * @param action the action
   */
  void after(Duration delay, Runnable action);
}

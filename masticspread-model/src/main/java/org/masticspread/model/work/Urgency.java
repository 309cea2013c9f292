package org.masticspread.model.work;

/** The urgency of work. */
public enum Urgency {
  /** Must be answered or started at once. */
  URGENT,
  /** Served when no urgent work is waiting. */
  NORMAL,
  /** May wait until its deadline. */
  DEFERRABLE
}

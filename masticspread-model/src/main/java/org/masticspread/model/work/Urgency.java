package org.masticspread.model.work;

/** How soon work must be served. */
public enum Urgency {
  /** Must answer or start at once. */
  URGENT,
  /** Served when nothing urgent waits. */
  NORMAL,
  /** May wait until its deadline. */
  DEFERRABLE
}

package org.masticspread.state.testing;

/** What goes wrong in one call to a store. */
public enum Fault {
  /** Nothing. */
  NONE,
  /** Refused, certainly without effect. */
  REFUSED,
  /** Fails before the effect, which the caller can't tell. */
  ERROR_BEFORE,
  /** Fails after the effect, which the caller can't tell. */
  ERROR_AFTER,
  /** Fails, and takes effect some calls later. */
  LATE_EFFECT,
  /** Takes three seconds. */
  SLOW,
  /** A read that does not see the latest commit; a commit is not affected. */
  STALE
}

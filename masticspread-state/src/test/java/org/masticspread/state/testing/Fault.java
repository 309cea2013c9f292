package org.masticspread.state.testing;

/** The fault of one call to a store. */
public enum Fault {
  /** No fault. */
  NONE,
  /** The call is refused, certainly without effect. */
  REFUSED,
  /** The call fails before its effect, but the caller does not know whether it took effect. */
  ERROR_BEFORE,
  /** The call fails after its effect, but the caller does not know whether it took effect. */
  ERROR_AFTER,
  /** The call fails and takes effect some calls later. */
  LATE_EFFECT,
  /** The call takes three seconds. */
  SLOW,
  /** A read does not see the latest commit; a commit is not affected. */
  STALE
}

package org.masticspread.state.history;

/**
 * A violation of a guarantee found in a history.
 *
 * @param promise the violated guarantee
 * @param subject the affected subject, such as a request
 * @param detail the detail as a short sentence
 */
public record Violation(Guarantee promise, String subject, String detail) {
  /** The guarantees that are checked. */
  public enum Guarantee {
    /** Work that is not idempotent runs at most once. */
    RAN_AT_MOST_ONCE,
    /** A task never runs in two places at once. */
    NEVER_TWO_PLACES,
    /** An accepted job is never lost. */
    NOTHING_ACCEPTED_LOST,
    /** Work reported as not run did not run. */
    NOT_RUN_IS_TRUE,
    /** The active revision on a VM never decreases. */
    CONFIG_MONOTONIC,
    /** A caller gets one complete answer, which belongs to its own request. */
    WHOLE_ANSWER
  }
}

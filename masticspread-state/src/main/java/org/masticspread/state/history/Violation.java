package org.masticspread.state.history;

/**
 * A promise that a history breaks.
 *
 * @param promise the promise
 * @param subject what it is about, such as a request
 * @param detail a short sentence
 */
public record Violation(Promise promise, String subject, String detail) {
  /** The promises that are checked. */
  public enum Promise {
    /** Work that is not idempotent runs at most once. */
    RAN_AT_MOST_ONCE,
    /** A task never runs in two places at once. */
    NEVER_TWO_PLACES,
    /** An accepted job is never lost. */
    NOTHING_ACCEPTED_LOST,
    /** What was told as not run did not run. */
    NOT_RUN_IS_TRUE,
    /** The revision in force on a VM never goes back. */
    CONFIG_MONOTONIC,
    /** A caller gets one whole answer, to its own request. */
    WHOLE_ANSWER
  }
}

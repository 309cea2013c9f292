package org.masticspread.policy.request;

/** The consequence of a finished dispatch for its request. */
public sealed interface Completion {

  /**
   * The request has concluded; its result goes to the caller.
   *
   * @param conclusion the result
   */
  record Deliver(Conclusion conclusion) implements Completion {}

  /**
   * The request was queued again for another attempt.
   *
   * @param reason the reason, as a short sentence
   */
  record Retried(String reason) implements Completion {}

  /**
   * The end of the dispatch is ignored, because another attempt is in flight or has concluded.
   *
   * @param reason the reason, as a short sentence
   */
  record Dropped(String reason) implements Completion {}
}

package org.masticspread.policy.request;

/** What follows from the end of a dispatch. */
public sealed interface Completion {

  /**
   * The request is over; the caller gets this outcome.
   *
   * @param conclusion the outcome
   */
  record Deliver(Conclusion conclusion) implements Completion {}

  /**
   * The request waits for another attempt.
   *
   * @param reason a short sentence
   */
  record Retried(String reason) implements Completion {}

  /**
   * The end of the dispatch changes nothing: another attempt is still in flight or has concluded.
   *
   * @param reason a short sentence
   */
  record Dropped(String reason) implements Completion {}
}

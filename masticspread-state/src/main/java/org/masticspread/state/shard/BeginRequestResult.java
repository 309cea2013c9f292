package org.masticspread.state.shard;

import org.masticspread.model.work.Answer;

/**
 * The result of {@link WorkShardState#beginRequest} for a request that must run at most once.
 *
 * @param kind whether the request is new
 * @param answer the answer for the caller; null unless the kind is DECIDED
 */
public record BeginRequestResult(Kind kind, Answer answer) {
  /** Whether the request is new. */
  public enum Kind {
    /**
     * The request is new and its id is reserved for this caller, which must append {@code
     * RequestStarted} and then dispatch the request.
     */
    NEW,
    /** The same request is in flight on this shard: wait for its answer. */
    IN_FLIGHT,
    /** The request is known or refused: return the answer. */
    DECIDED
  }

  static final BeginRequestResult NEW = new BeginRequestResult(Kind.NEW, null);
  static final BeginRequestResult IN_FLIGHT = new BeginRequestResult(Kind.IN_FLIGHT, null);

  static BeginRequestResult decided(Answer answer) {
    return new BeginRequestResult(Kind.DECIDED, answer);
  }
}

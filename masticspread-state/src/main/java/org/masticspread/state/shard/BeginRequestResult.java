package org.masticspread.state.shard;

import org.masticspread.model.work.Answer;

/**
 * What a shard knows of a request that must run at most once.
 *
 * @param kind whether it is new
 * @param answer the answer to give; null unless decided
 */
public record BeginRequestResult(Kind kind, Answer answer) {
  /** Whether a request is new. */
  public enum Kind {
    /** New, and now held for this caller: append {@code RequestStarted}, then dispatch. */
    NEW,
    /** The same request is in flight here: wait for its answer. */
    IN_FLIGHT,
    /** Known or refused: give the answer. */
    DECIDED
  }

  static final BeginRequestResult NEW = new BeginRequestResult(Kind.NEW, null);
  static final BeginRequestResult IN_FLIGHT = new BeginRequestResult(Kind.IN_FLIGHT, null);

  static BeginRequestResult decided(Answer answer) {
    return new BeginRequestResult(Kind.DECIDED, answer);
  }
}

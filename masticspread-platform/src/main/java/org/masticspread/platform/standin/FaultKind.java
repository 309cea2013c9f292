package org.masticspread.platform.standin;

/** Kinds of fault that a stand-in can inject. */
public enum FaultKind {
  /** The connection fails, so the call certainly has no effect. */
  DOWN,
  /** The call is delayed and then succeeds. */
  SLOW,
  /** The call fails without effect, but the caller cannot know that. */
  ERROR_BEFORE_EFFECT,
  /** The call takes effect and its answer is lost. */
  ANSWER_LOST,
  /** The call returns a list or report of an earlier time. */
  STALE,
  /** The call takes effect twice. */
  DUPLICATE,
  /** The call takes effect only after the next call of the same stand-in. */
  REORDERED,
  /** The call takes effect and its answer is truncated. */
  CUT,
  /** The call takes effect and the answer carries the id of another call. */
  FOREIGN,
  /** The call is received but has no effect and is never answered. */
  SILENT
}

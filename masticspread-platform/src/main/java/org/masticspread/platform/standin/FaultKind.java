package org.masticspread.platform.standin;

/** The faults that a stand-in can show. */
public enum FaultKind {
  /** No connection; certain that the call had no effect. */
  DOWN,
  /** The call takes longer and then works. */
  SLOW,
  /** The call has no effect, which its caller cannot know. */
  ERROR_BEFORE_EFFECT,
  /** The call takes effect and its answer is lost. */
  ANSWER_LOST,
  /** A list or report of an earlier time is returned. */
  STALE,
  /** The call takes effect twice. */
  DUPLICATE,
  /** The call takes effect only after the next call of the same stand-in. */
  REORDERED,
  /** The call takes effect and its answer ends in the middle. */
  CUT,
  /** The call takes effect and the answer of another call comes back. */
  FOREIGN,
  /** The call is taken in and nothing ever comes back; it has no effect. */
  SILENT
}

package org.masticspread.state.session;

/** The states of a session; it never goes back. */
public enum SessionState {
  /** The incarnation may write its journal and claim shards. */
  OPEN,
  /** The incarnation was taken for dead; it can write nothing any more. */
  FENCED,
  /** The incarnation has ended by a planned stop. */
  CLOSED,
  /** The journal of the ended incarnation is being deleted. */
  COLLECTED
}

package org.masticspread.state.session;

/** The states of a session. OPEN is followed by FENCED or CLOSED, and then by COLLECTED. */
public enum SessionState {
  /** The incarnation may write its journal and claim shards. */
  OPEN,
  /** Another VM has fenced the incarnation, which can write nothing any more. */
  FENCED,
  /** The incarnation has ended with a graceful shutdown. */
  CLOSED,
  /** The journal of the ended incarnation is being deleted. */
  COLLECTED
}

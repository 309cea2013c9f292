package org.masticspread.node.trial;

/** A fault of the link from one VM to another. */
public enum LinkFault {
  /** No connection can be opened; certain that nothing was sent. */
  CUT,
  /** Messages vanish; the sender finds out by missing heartbeats. */
  SILENT,
  /** Messages arrive twice. */
  DUPLICATE,
  /** Messages overtake each other. */
  REORDERED,
  /** Messages arrive and their answers vanish. */
  ANSWER_LOST
}

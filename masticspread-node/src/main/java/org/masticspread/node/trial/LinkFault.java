package org.masticspread.node.trial;

/** Fault of the link from one VM to another. */
public enum LinkFault {
  /** No connection can be opened; the sender knows that nothing was sent. */
  CUT,
  /** Messages are lost; the sender detects it by missing heartbeats. */
  SILENT,
  /** Messages arrive twice. */
  DUPLICATE,
  /** Messages arrive out of order. */
  REORDERED,
  /** Messages arrive and their answers are lost. */
  ANSWER_LOST
}

package org.masticspread.state.journal;

import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.result.ResultCode;

/** A record was appended by an incarnation whose session has ended. */
public final class FencedException extends AppendException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param incarnation the incarnation
   * @param notWritten whether the record was certainly not written
   */
  public FencedException(VmIncarnation incarnation, boolean notWritten) {
    super(ResultCode.NOT_OWNER, notWritten, "the session of " + incarnation + " has ended");
  }
}

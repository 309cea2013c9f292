package org.masticspread.state.journal;

import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.result.ResultCode;

/** A record of an incarnation whose session has ended. */
public final class FencedException extends AppendException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an error.
   *
   * @param incarnation the incarnation
   * @param certain whether the record is certainly not written
   */
  public FencedException(VmIncarnation incarnation, boolean certain) {
    super(ResultCode.NOT_OWNER, certain, "the session of " + incarnation + " has ended");
  }
}

package org.masticspread.state.journal;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** A record was not written to the journal, or it is unknown whether it was. */
public abstract class AppendException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  private final boolean notWritten;

  AppendException(ResultCode code, boolean notWritten, String message) {
    super(notWritten ? code : ResultCode.OUTCOME_UNKNOWN, message);
    this.notWritten = notWritten;
  }

  /**
   * Returns whether the record was certainly not written and never will be.
   *
   * @return true if it is certain; false if the record may be in the journal
   */
  public boolean isNotWritten() {
    return notWritten;
  }
}

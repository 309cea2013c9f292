package org.masticspread.state.journal;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** A record that did not become durable, or of which that is not known. */
public abstract class AppendException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  private final boolean certain;

  AppendException(ResultCode code, boolean certain, String message) {
    super(certain ? code : ResultCode.OUTCOME_UNKNOWN, message);
    this.certain = certain;
  }

  /**
   * Tells whether the record is certainly not written and never will be.
   *
   * @return true when it is certain; false when it may be in the journal
   */
  public boolean isNotWritten() {
    return certain;
  }
}

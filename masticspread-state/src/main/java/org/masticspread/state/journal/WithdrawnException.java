package org.masticspread.state.journal;

import org.masticspread.model.result.ResultCode;

/** A record that the store did not take in time; it is certainly not written. */
public final class WithdrawnException extends AppendException {
  private static final long serialVersionUID = 1L;

  /** Creates an error. */
  public WithdrawnException() {
    super(ResultCode.STORE_UNAVAILABLE, true, "the store did not take the record in time");
  }
}

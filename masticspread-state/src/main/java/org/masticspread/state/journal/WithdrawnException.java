package org.masticspread.state.journal;

import org.masticspread.model.result.ResultCode;

/**
 * A record was withdrawn because it was not written before its deadline or the queue was full. It
 * was certainly not written.
 */
public final class WithdrawnException extends AppendException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public WithdrawnException() {
    super(ResultCode.STORE_UNAVAILABLE, true, "the record was not written to the store in time");
  }
}

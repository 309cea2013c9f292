package org.masticspread.cell.port;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** A read of the store that gave no rows. */
public final class StoreReadException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  private final boolean historyGone;

  /**
   * Creates an error.
   *
   * @param historyGone whether the store no longer has the changes that were asked for
   * @param message a short sentence
   * @param cause the cause, may be null
   */
  public StoreReadException(boolean historyGone, String message, Throwable cause) {
    super(ResultCode.STORE_UNAVAILABLE, message, cause);
    this.historyGone = historyGone;
  }

  /**
   * Tells whether to read the rows anew before changes are followed again.
   *
   * @return whether the changes are gone
   */
  public boolean historyGone() {
    return historyGone;
  }
}

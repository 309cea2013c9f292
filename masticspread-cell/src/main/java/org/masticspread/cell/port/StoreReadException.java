package org.masticspread.cell.port;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** Thrown when a read of the store fails. */
public final class StoreReadException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  private final boolean historyGone;

  /**
   * Creates an exception.
   *
   * @param historyGone whether the store no longer holds the requested changes
   * @param message a short sentence
   * @param cause the cause, may be null
   */
  public StoreReadException(boolean historyGone, String message, Throwable cause) {
    super(ResultCode.STORE_UNAVAILABLE, message, cause);
    this.historyGone = historyGone;
  }

  /**
   * Returns whether the store no longer holds the requested changes, so that all rows must be read
   * again before changes are followed.
   *
   * @return whether the changes are gone
   */
  public boolean historyGone() {
    return historyGone;
  }
}

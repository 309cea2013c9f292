package org.masticspread.wire;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** Bytes from a peer that are no valid frame or message. */
public final class WireFormatException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an error.
   *
   * @param message a short sentence
   * @param cause the cause, may be null
   */
  public WireFormatException(String message, Throwable cause) {
    super(ResultCode.INTERNAL_ERROR, message, cause);
  }
}

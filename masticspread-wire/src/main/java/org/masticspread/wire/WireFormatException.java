package org.masticspread.wire;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** A frame or message can't be decoded or encoded. */
public final class WireFormatException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message what is wrong, as a short sentence
   * @param cause the cause, may be null
   */
  public WireFormatException(String message, Throwable cause) {
    super(ResultCode.INTERNAL_ERROR, message, cause);
  }
}

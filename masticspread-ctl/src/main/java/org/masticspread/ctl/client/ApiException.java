package org.masticspread.ctl.client;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** An error of a call: a node refused it or did not answer, as given by the result code. */
public class ApiException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an error.
   *
   * @param code the result code
   * @param message a short sentence
   */
  public ApiException(ResultCode code, String message) {
    super(code, message);
  }

  /**
   * Creates an error with a cause.
   *
   * @param code the result code
   * @param message a short sentence
   * @param cause the cause
   */
  public ApiException(ResultCode code, String message, Throwable cause) {
    super(code, message, cause);
  }
}

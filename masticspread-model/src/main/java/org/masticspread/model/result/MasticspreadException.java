package org.masticspread.model.result;

/** The root of the checked errors; each carries a numbered result code. */
public class MasticspreadException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;

  /**
   * Creates an error.
   *
   * @param code the result code
   * @param message a short sentence
   */
  public MasticspreadException(ResultCode code, String message) {
    super(message);
    this.code = code;
  }

  /**
   * Creates an error with a cause.
   *
   * @param code the result code
   * @param message a short sentence
   * @param cause the cause
   */
  public MasticspreadException(ResultCode code, String message, Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /**
   * Returns the result code.
   *
   * @return the code
   */
  public ResultCode code() {
    return code;
  }
}

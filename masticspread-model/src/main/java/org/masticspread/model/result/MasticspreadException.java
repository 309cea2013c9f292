package org.masticspread.model.result;

/** The base class of the checked exceptions. Each carries a {@link ResultCode}. */
public class MasticspreadException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;

  /**
   * Creates an exception.
   *
   * @param code the result code
   * @param message the detail message
   */
  public MasticspreadException(ResultCode code, String message) {
    super(message);
    this.code = code;
  }

  /**
   * Creates an exception with a cause.
   *
   * @param code the result code
   * @param message the detail message
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

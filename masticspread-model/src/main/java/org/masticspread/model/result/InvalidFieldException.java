package org.masticspread.model.result;

/** Input with a wrong field. */
public final class InvalidFieldException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  private final String field;

  /**
   * Creates an error that names the field.
   *
   * <p>Example: {@code new InvalidFieldException("tasks", "-1", "a whole number from 1 to 10000")}.
   *
   * @param field the field
   * @param value the value that was given
   * @param allowed what is allowed
   */
  public InvalidFieldException(String field, String value, String allowed) {
    this(ResultCode.INVALID_FIELD, field, value, allowed);
  }

  /**
   * Creates an error with a code of its own.
   *
   * @param code the result code
   * @param field the field
   * @param value the value that was given
   * @param allowed what is allowed
   */
  public InvalidFieldException(ResultCode code, String field, String value, String allowed) {
    super(code, field + ": '" + value + "' is not allowed; allowed: " + allowed);
    this.field = field;
  }

  /**
   * Returns the field.
   *
   * @return the name of the field
   */
  public String field() {
    return field;
  }
}

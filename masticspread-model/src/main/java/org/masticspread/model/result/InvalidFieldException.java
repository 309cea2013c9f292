package org.masticspread.model.result;

/** Thrown when a field of the input is invalid. */
public final class InvalidFieldException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  private final String field;

  /**
   * Creates an exception that names the field.
   *
   * <p>Example: {@code new InvalidFieldException("tasks", "-1", "a whole number from 1 to 10000")}.
   *
   * @param field the field
   * @param value the invalid value
   * @param allowed a description of the allowed values
   */
  public InvalidFieldException(String field, String value, String allowed) {
    this(ResultCode.INVALID_FIELD, field, value, allowed);
  }

  /**
   * Creates an exception with the given result code.
   *
   * @param code the result code
   * @param field the field
   * @param value the invalid value
   * @param allowed a description of the allowed values
   */
  public InvalidFieldException(ResultCode code, String field, String value, String allowed) {
    super(code, field + ": '" + value + "' is not allowed; allowed: " + allowed);
    this.field = field;
  }

  /**
   * Returns the name of the field.
   *
   * @return the name of the field
   */
  public String field() {
    return field;
  }
}

package org.masticspread.ctl.command;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** An error in a flag, invalid or missing, found before anything is sent. */
public final class UsageException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an error.
   *
   * @param flag the flag, including its dashes
   * @param value the given value; empty if the flag is missing
   * @param allowed the allowed values, in words
   */
  public UsageException(String flag, String value, String allowed) {
    super(
        ResultCode.INVALID_FIELD,
        value.isEmpty()
            ? flag + ": missing; allowed: " + allowed
            : flag + ": '" + value + "' is not allowed; allowed: " + allowed);
  }
}

package org.masticspread.ctl.command;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** A bad or missing flag, found before anything is sent. */
public final class UsageException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an error.
   *
   * @param flag the flag, with its dashes
   * @param value the value that was given; empty when it is missing
   * @param allowed what is allowed
   */
  public UsageException(String flag, String value, String allowed) {
    super(
        ResultCode.INVALID_FIELD,
        value.isEmpty()
            ? flag + ": missing; allowed: " + allowed
            : flag + ": '" + value + "' is not allowed; allowed: " + allowed);
  }
}

package org.masticspread.model.platform;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** Thrown when a condition of a transaction does not hold; nothing was written. */
public final class ConditionFailedException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  private final String key;

  /**
   * Creates an exception.
   *
   * @param key the row whose condition did not hold
   */
  public ConditionFailedException(String key) {
    super(ResultCode.CONFLICT, "condition failed on row " + key);
    this.key = key;
  }

  /**
   * Returns the row whose condition did not hold.
   *
   * @return the key of the row
   */
  public String key() {
    return key;
  }
}

package org.masticspread.model.platform;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** Thrown when a call to the table service or the object store fails. */
public class StoreException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  /** The effect of a failed call, as far as it is known. */
  public enum Effect {
    /** The call certainly had no effect. */
    NONE,
    /** The call may have taken effect. */
    UNKNOWN
  }

  private final Effect effect;

  /**
   * Creates an exception.
   *
   * @param effect the known effect
   * @param message the detail message
   * @param cause the cause; may be null
   */
  public StoreException(Effect effect, String message, Throwable cause) {
    super(ResultCode.STORE_UNAVAILABLE, message, cause);
    this.effect = effect;
  }

  /**
   * Returns the known effect of the call.
   *
   * @return the effect
   */
  public Effect effect() {
    return effect;
  }
}

package org.masticspread.model.platform;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** A failed call to the table service or the object store. */
public class StoreException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  /** What is known about the effect of the call. */
  public enum Effect {
    /** Certain: the call had no effect. */
    NONE,
    /** The call may have taken effect. */
    UNKNOWN
  }

  private final Effect effect;

  /**
   * Creates an error.
   *
   * @param effect what is known about the effect
   * @param message a short sentence
   * @param cause the cause, may be null
   */
  public StoreException(Effect effect, String message, Throwable cause) {
    super(ResultCode.STORE_UNAVAILABLE, message, cause);
    this.effect = effect;
  }

  /**
   * Tells what is known about the effect of the call.
   *
   * @return the effect
   */
  public Effect effect() {
    return effect;
  }
}

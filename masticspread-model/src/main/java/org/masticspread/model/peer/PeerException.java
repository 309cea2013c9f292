package org.masticspread.model.peer;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** A failed call to a peer. */
public final class PeerException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  private final boolean sent;

  /**
   * Creates an error.
   *
   * @param sent whether the message may have reached the peer
   * @param message a short sentence
   * @param cause the cause, may be null
   */
  public PeerException(boolean sent, String message, Throwable cause) {
    super(sent ? ResultCode.OUTCOME_UNKNOWN : ResultCode.CONNECT_FAILED, message, cause);
    this.sent = sent;
  }

  /**
   * Tells whether the message may have reached the peer.
   *
   * @return false if it is certain that nothing was sent
   */
  public boolean mayHaveBeenSent() {
    return sent;
  }
}

package org.masticspread.model.peer;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** A failed call to a peer. */
public final class PeerException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  private final boolean sent;
  private final boolean refused;

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
    this.refused = false;
  }

  private PeerException(String message) {
    super(ResultCode.CONNECT_FAILED, message, null);
    this.sent = false;
    this.refused = true;
  }

  /**
   * Creates the error of a call to a peer whose host answered that nobody listens there.
   *
   * @param message a short sentence
   * @return the error
   */
  public static PeerException refused(String message) {
    return new PeerException(message);
  }

  /**
   * Tells whether nobody listens at the peer's address, as after the end of its process.
   *
   * @return false if the peer may run and only be slow or cut off
   */
  public boolean connectionRefused() {
    return refused;
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

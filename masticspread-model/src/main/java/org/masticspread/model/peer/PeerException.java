package org.masticspread.model.peer;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** Thrown when a call to a peer fails. */
public final class PeerException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  private final boolean sent;
  private final boolean refused;

  /**
   * Creates an exception.
   *
   * @param sent whether the message may have reached the peer
   * @param message the detail message
   * @param cause the cause; may be null
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
   * Creates an exception for a connection refused by the host of the peer.
   *
   * @param message the detail message
   * @return the exception
   */
  public static PeerException refused(String message) {
    return new PeerException(message);
  }

  /**
   * Returns whether no process listens at the address of the peer, as after its process has ended.
   *
   * @return false if the peer may be running but slow or unreachable
   */
  public boolean connectionRefused() {
    return refused;
  }

  /**
   * Returns whether the message may have reached the peer.
   *
   * @return false if the message was certainly not sent
   */
  public boolean mayHaveBeenSent() {
    return sent;
  }
}

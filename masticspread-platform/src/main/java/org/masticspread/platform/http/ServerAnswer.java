package org.masticspread.platform.http;

import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.WorkerException;
import org.masticspread.model.platform.WorkerException.Reason;
import org.masticspread.platform.http.Protocol.Refusal;

/**
 * Answer of the server to a call.
 *
 * @param status the HTTP status; 0 to close the connection without an answer
 * @param outcome the outcome header
 * @param body the body, without its end marker
 */
record ServerAnswer(int status, String outcome, byte[] body) {
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_REFUSED = 422;
  private static final int STATUS_ERROR = 500;
  private static final int STATUS_BUSY = 503;
  private static final byte[] NO_BODY = new byte[0];

  /** Stands for closing the connection without an answer. */
  static final ServerAnswer NONE = new ServerAnswer(0, "", NO_BODY);

  static final ServerAnswer BUSY = new ServerAnswer(STATUS_BUSY, Protocol.BUSY, NO_BODY);

  static ServerAnswer json(Object value) {
    return ok(Protocol.write(value));
  }

  static ServerAnswer ok(byte[] body) {
    return new ServerAnswer(STATUS_OK, Protocol.OK, body);
  }

  static ServerAnswer error(byte[] body) {
    return new ServerAnswer(STATUS_ERROR, Protocol.ERROR, body);
  }

  static ServerAnswer unknownPath(String path) {
    byte[] body = Protocol.write(new Refusal(Refusal.INPUT, path, "no such path"));
    return new ServerAnswer(STATUS_NOT_FOUND, Protocol.REFUSED, body);
  }

  /**
   * Returns the answer for an exception of a stand-in. A worker call without an answer gets none
   * here either, so that the caller sees the same uncertainty.
   */
  static ServerAnswer refused(Exception e) {
    if (e instanceof ConditionFailedException failed) {
      return refused(Refusal.CONDITION, failed.key(), e);
    }
    if (e instanceof StoreException failed) {
      return refused(Refusal.EFFECT, failed.effect().name(), e);
    }
    if (e instanceof WorkerException failed) {
      return failed.reason() == Reason.NO_ANSWER
          ? NONE
          : refused(Refusal.REASON, failed.reason().name(), e);
    }
    return refused(Refusal.INPUT, e.getClass().getSimpleName(), e);
  }

  private static ServerAnswer refused(String kind, String value, Exception e) {
    Refusal refusal = new Refusal(kind, value, String.valueOf(e.getMessage()));
    return new ServerAnswer(STATUS_REFUSED, Protocol.REFUSED, Protocol.write(refusal));
  }
}

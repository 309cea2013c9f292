package org.masticspread.model.work;

import java.time.Duration;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.result.ResultCode;

/**
 * The outcome of a request.
 *
 * @param key team and id of the request
 * @param code what became of it
 * @param body the whole answer, empty unless the code is OK or ENDPOINT_ERROR
 * @param detail a short sentence for people
 * @param retryAfter how long to wait before a repeat; zero when not told
 */
public record Answer(
    RequestKey key, ResultCode code, Payload body, String detail, Duration retryAfter) {

  /**
   * Returns a successful answer.
   *
   * @param key the request
   * @param body the whole answer
   * @return the answer
   */
  public static Answer ok(RequestKey key, Payload body) {
    return new Answer(key, ResultCode.OK, body, "", Duration.ZERO);
  }

  /**
   * Returns an answer without a body.
   *
   * @param key the request
   * @param code what became of it
   * @param detail a short sentence
   * @return the answer
   */
  public static Answer of(RequestKey key, ResultCode code, String detail) {
    return new Answer(key, code, Payload.EMPTY, detail, Duration.ZERO);
  }
}

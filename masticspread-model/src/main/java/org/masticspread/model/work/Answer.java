package org.masticspread.model.work;

import java.time.Duration;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.result.ResultCode;

/**
 * The answer to a request.
 *
 * @param key the team and the id of the request
 * @param code the result code
 * @param body the complete response body; empty unless the code is OK or ENDPOINT_ERROR
 * @param detail a human-readable description, as a short sentence
 * @param retryAfter how long to wait before retrying; zero if unspecified
 */
public record Answer(
    RequestKey key, ResultCode code, Payload body, String detail, Duration retryAfter) {

  /**
   * Creates a successful answer.
   *
   * @param key the request
   * @param body the complete response body
   * @return the answer
   */
  public static Answer ok(RequestKey key, Payload body) {
    return new Answer(key, ResultCode.OK, body, "", Duration.ZERO);
  }

  /**
   * Creates an answer without a body.
   *
   * @param key the request
   * @param code the result code
   * @param detail a description, as a short sentence
   * @return the answer
   */
  public static Answer of(RequestKey key, ResultCode code, String detail) {
    return new Answer(key, code, Payload.EMPTY, detail, Duration.ZERO);
  }
}

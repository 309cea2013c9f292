package org.masticspread.node.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.masticspread.codec.Mappers;

/**
 * Response of the HTTP interface.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body
 * @param retryAfterMs when to retry, in milliseconds; null if not given
 */
record Reply(int status, String contentType, byte[] body, Long retryAfterMs) {
  private static final String JSON = "application/json";

  static Reply of(ResultBody result) {
    return new Reply(result.resultCode().httpStatus(), JSON, json(result), result.retryAfterMs());
  }

  static Reply ok(Object body) {
    return new Reply(200, JSON, json(body), null);
  }

  private static byte[] json(Object body) {
    try {
      return Mappers.json().writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write as JSON: " + body.getClass(), e);
    }
  }
}

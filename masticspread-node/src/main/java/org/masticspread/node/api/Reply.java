package org.masticspread.node.api;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.masticspread.codec.Mappers;

/**
 * An answer of the HTTP interface.
 *
 * @param status the HTTP status
 * @param contentType the type of the body
 * @param body the body
 * @param retryAfterMs when to come back, in milliseconds; null when not told
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
      throw new IllegalStateException("no JSON for " + body.getClass(), e);
    }
  }
}

package org.masticspread.policy.request;

import java.time.Duration;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;

/**
 * The final result of an admitted request; each admitted request has exactly one.
 *
 * @param request the request
 * @param code the result code; its run state is {@code NOT_RUN} only if no attempt can have run
 * @param reason the reason, as a short sentence
 * @param retryAfter how long to wait before retrying; zero if unspecified
 */
public record Conclusion(RequestSpec request, ResultCode code, String reason, Duration retryAfter) {

  /**
   * Converts this result to the answer for the caller.
   *
   * @param body the complete response body of the endpoint, or {@link Payload#EMPTY}
   * @return the answer
   */
  public Answer toAnswer(Payload body) {
    return new Answer(request.key(), code, body, reason, retryAfter);
  }
}

package org.masticspread.policy.request;

import java.time.Duration;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;

/**
 * The one outcome of an admitted request.
 *
 * @param request the request
 * @param code what became of it; a code of the not-run family only if no attempt may have run
 * @param reason a short sentence
 * @param retryAfter how long to wait before a repeat; zero when not told
 */
public record Conclusion(RequestSpec request, ResultCode code, String reason, Duration retryAfter) {

  /**
   * Returns the answer for the caller.
   *
   * @param body the whole answer of the endpoint, or {@link Payload#EMPTY}
   * @return the answer
   */
  public Answer toAnswer(Payload body) {
    return new Answer(request.key(), code, body, reason, retryAfter);
  }
}

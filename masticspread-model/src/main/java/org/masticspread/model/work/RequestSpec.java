package org.masticspread.model.work;

import java.time.Instant;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.WorkClassId;

/**
 * A request as submitted by its caller.
 *
 * @param key the team and the id of the request
 * @param workClass the work class within the team
 * @param urgency how soon it must be answered
 * @param idempotent whether it may run more than once
 * @param answerBy the deadline for the answer
 * @param body the body to send to the endpoint
 */
public record RequestSpec(
    RequestKey key,
    WorkClassId workClass,
    Urgency urgency,
    boolean idempotent,
    Instant answerBy,
    Payload body) {

  /**
   * Returns the key of the work class.
   *
   * @return the team and the work class
   */
  public ClassKey classKey() {
    return new ClassKey(key.team(), workClass);
  }
}

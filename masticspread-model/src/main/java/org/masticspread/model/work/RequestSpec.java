package org.masticspread.model.work;

import java.time.Instant;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.WorkClassId;

/**
 * A request that a caller wants answered.
 *
 * @param key team and id of the request
 * @param workClass the work class within the team
 * @param urgency how soon it must be answered
 * @param idempotent whether it may run more than once
 * @param answerBy when the answer must be back
 * @param body the body for the endpoint
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
   * @return team and work class
   */
  public ClassKey classKey() {
    return new ClassKey(key.team(), workClass);
  }
}

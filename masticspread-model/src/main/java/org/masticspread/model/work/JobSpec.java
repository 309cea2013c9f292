package org.masticspread.model.work;

import java.time.Duration;
import java.time.Instant;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.resource.ResourceVector;

/**
 * A job as its caller submits it.
 *
 * @param key team and id of the job
 * @param workClass the work class within the team
 * @param kind batch, service or gang
 * @param urgency how soon it must start
 * @param tasks the number of tasks, at least 1
 * @param perTask the declared size of each task
 * @param declaredRunTime the declared run time of a task; zero when not told
 * @param deadline when the job must be done; null when it may take any time
 * @param idempotent whether a task may run more than once
 * @param maxAttempts how often an idempotent task is tried, at least 1
 * @param command what the workers run
 */
public record JobSpec(
    JobKey key,
    WorkClassId workClass,
    JobKind kind,
    Urgency urgency,
    int tasks,
    ResourceVector perTask,
    Duration declaredRunTime,
    Instant deadline,
    boolean idempotent,
    int maxAttempts,
    Payload command) {

  /**
   * Returns the key of the work class.
   *
   * @return team and work class
   */
  public ClassKey classKey() {
    return new ClassKey(key.team(), workClass);
  }
}

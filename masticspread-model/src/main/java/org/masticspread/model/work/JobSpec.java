package org.masticspread.model.work;

import java.time.Duration;
import java.time.Instant;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.resource.ResourceVector;

/**
 * A job as submitted by its caller.
 *
 * @param key the team and the id of the job
 * @param workClass the work class within the team
 * @param kind the kind of job
 * @param urgency how soon it must start
 * @param tasks the number of tasks, at least 1
 * @param perTask the declared size of each task
 * @param declaredRunTime the declared run time of a task; zero if unspecified
 * @param deadline the deadline of the job; null if it has none
 * @param idempotent whether a task may run more than once
 * @param maxAttempts the maximum number of attempts of an idempotent task, at least 1
 * @param command the command that the workers run
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
   * @return the team and the work class
   */
  public ClassKey classKey() {
    return new ClassKey(key.team(), workClass);
  }
}

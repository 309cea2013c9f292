package org.masticspread.node.trial;

import java.time.Duration;
import java.time.Instant;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.model.work.Urgency;

/**
 * Requests and jobs of trials.
 *
 * <p>Example: {@code cell.send(1, TrialWork.order("order-1", cell.now()))}.
 */
public final class TrialWork {
  private static final Duration ANSWER_WITHIN = Duration.ofSeconds(4);
  private static final ResourceVector TASK_SIZE = new ResourceVector(1_000, 1L << 30, 0);
  private static final int MAX_ATTEMPTS = 20;

  private TrialWork() {}

  /**
   * Returns a request that may run more than once.
   *
   * @param id its id
   * @param now the time at which it is sent
   * @return a request of 100 ms
   */
  public static RequestSpec read(String id, Instant now) {
    return request(id, now, true);
  }

  /**
   * Returns a request that must run at most once.
   *
   * @param id its id
   * @param now the time at which it is sent
   * @return a request of 100 ms
   */
  public static RequestSpec order(String id, Instant now) {
    return request(id, now, false);
  }

  private static RequestSpec request(String id, Instant now, boolean idempotent) {
    return new RequestSpec(
        new RequestKey(TrialConfiguration.TEAM, RequestId.of(id)),
        idempotent ? TrialConfiguration.READS : TrialConfiguration.ORDERS,
        Urgency.URGENT,
        idempotent,
        now.plus(ANSWER_WITHIN),
        Payload.ofText("sleep:PT0.1S"));
  }

  /**
   * Returns a batch job.
   *
   * @param id its id
   * @param tasks the number of tasks
   * @param idempotent whether a task may run more than once
   * @param each the run time of a task
   * @return the job
   */
  public static JobSpec batch(String id, int tasks, boolean idempotent, Duration each) {
    return job(id, JobKind.BATCH, tasks, idempotent, "sleep:" + each);
  }

  /**
   * Returns a gang that may run more than once.
   *
   * @param id its id
   * @param tasks the number of tasks
   * @param each the run time of a task
   * @return the job
   */
  public static JobSpec gang(String id, int tasks, Duration each) {
    return job(id, JobKind.GANG, tasks, true, "sleep:" + each);
  }

  /**
   * Returns a service.
   *
   * @param id its id
   * @param tasks the number of tasks
   * @return the job
   */
  public static JobSpec service(String id, int tasks) {
    return job(id, JobKind.SERVICE, tasks, true, "service");
  }

  private static JobSpec job(
      String id, JobKind kind, int tasks, boolean idempotent, String command) {
    return new JobSpec(
        new JobKey(TrialConfiguration.TEAM, JobId.of(id)),
        idempotent ? TrialConfiguration.BATCH : TrialConfiguration.ONCE,
        kind,
        Urgency.DEFERRABLE,
        tasks,
        TASK_SIZE,
        Duration.ZERO,
        null,
        idempotent,
        MAX_ATTEMPTS,
        Payload.ofText(command));
  }
}

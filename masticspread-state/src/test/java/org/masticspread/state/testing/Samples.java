package org.masticspread.state.testing;

import java.time.Duration;
import java.time.Instant;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.model.work.Urgency;

/** Jobs and requests for tests. */
public final class Samples {
  public static final TeamId TEAM = TeamId.of("temple-desk");

  private Samples() {}

  /** Returns the key of a job. */
  public static JobKey jobKey(String id) {
    return new JobKey(TEAM, JobId.of(id));
  }

  /** Returns a batch job. */
  public static JobSpec job(String id, int tasks, boolean idempotent) {
    return new JobSpec(
        jobKey(id),
        WorkClassId.of("layouts"),
        JobKind.BATCH,
        Urgency.DEFERRABLE,
        tasks,
        new ResourceVector(500, 1L << 30, 0),
        Duration.ofMinutes(4),
        Instant.parse("2026-12-05T10:00:00Z"),
        idempotent,
        3,
        Payload.ofText("run " + id));
  }

  /** Returns the key of a request. */
  public static RequestKey requestKey(String id) {
    return new RequestKey(TEAM, RequestId.of(id));
  }

  /** Returns a request that must run at most once. */
  public static RequestSpec request(String id, String body, Instant answerBy) {
    return new RequestSpec(
        requestKey(id),
        WorkClassId.of("billing"),
        Urgency.URGENT,
        false,
        answerBy,
        Payload.ofText(body));
  }

  /** Returns a source of random numbers. */
  public static UniformRandomProvider random(long seed) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }
}

package org.masticspread.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.masticspread.policy.placement.Samples.size;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Urgency;

class FitCheckTest {
  @ParameterizedTest
  @CsvSource({
    "team, BATCH, 1, 16, 16, 0, , ",
    "team, BATCH, 900, 1, 1, 0, , ",
    "team, BATCH, 1, 17, 1, 0, FITS_NOWHERE, millicores",
    "team, BATCH, 1, 1, 65, 0, FITS_NOWHERE, memoryBytes",
    "team, BATCH, 1, 1, 1, 3, FITS_NOWHERE, accelerators",
    "team, BATCH, 1, 16, 64, 0, FITS_NOWHERE, ''",
    "team, GANG, 5, 8, 8, 0, FITS_NOWHERE, tasks",
    "team, GANG, 3, 8, 8, 0, , ",
    "small, BATCH, 9, 4, 1, 0, , ",
    "small, BATCH, 1, 5, 1, 0, QUOTA_EXCEEDED, millicores",
    "small, SERVICE, 2, 3, 1, 0, QUOTA_EXCEEDED, millicores",
    "nobody, BATCH, 1, 1, 1, 0, NOT_FOUND, ''"
  })
  void should_refuse_what_can_never_run(
      String team,
      JobKind kind,
      int tasks,
      int cores,
      int gib,
      int accelerators,
      ResultCode code,
      String resource) {
    // GIVEN
    List<WorkerConfig> workers = new ArrayList<>();
    workers.addAll(Samples.workers(1, "rack", size(16, 32)));
    workers.add(Samples.worker(1, "rack", size(8, 64)));
    Configuration configuration =
        Samples.configuration(
            List.of(Samples.team("team", 1, 0, null), Samples.team("small", 1, 0, size(4, 64))),
            workers);
    ResourceVector perTask = new ResourceVector(cores * 1000L, (long) gib << 30, accelerators);
    JobSpec spec =
        Samples.spec(Samples.job(team, "job"), kind, Urgency.NORMAL, tasks, perTask, null);
    // WHEN
    var refusal = FitCheck.check(configuration, spec);
    // THEN
    assertThat(refusal.map(FitCheck.Refusal::code).orElse(null)).isEqualTo(code);
    assertThat(refusal.map(FitCheck.Refusal::resource).orElse(null)).isEqualTo(resource);
  }
}

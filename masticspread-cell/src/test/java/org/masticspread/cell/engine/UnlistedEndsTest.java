package org.masticspread.cell.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.CellFixture;
import org.masticspread.cell.testing.FakeTable.CommitOutcome;
import org.masticspread.cell.testing.FakeWorkers.State;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.cell.JobState;
import org.masticspread.model.resource.ResourceVector;

/** Tests workers where more ends wait to be acknowledged than they list in one answer. */
class UnlistedEndsTest {
  private static final int JOBS = 24;
  private static final int TASKS = 60;
  private static final Duration RUN_TIME = Duration.ofMillis(400);

  private final CellFixture fixture =
      new CellFixture(Jobs.config(Jobs.queue("checks", 0, Optional.empty())));

  @BeforeEach
  void acceptJobs() {
    fixture.recordEvents = false;
    fixture.workers.add("w1", "r1", 32_000);
    fixture.workers.add("w2", "r1", 32_000);
    fixture.lead();
    pass(1000);
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("%016x", i);
      fixture.workers.describe(id, new ResourceVector(250, 1024, 0), RUN_TIME);
      fixture.submit(Jobs.job(id, Jobs.step(TASKS, 250, RUN_TIME, false)));
    }
    pass(30);
    fixture.recordEvents = true;
  }

  private void pass(long millis) {
    fixture.time.pass(Duration.ofMillis(millis));
  }

  private void assertAllSucceed() {
    pass(20_000);
    for (int i = 0; i < JOBS; i++) {
      assertThat(fixture.state(String.format("%016x", i))).isEqualTo(JobState.SUCCEEDED);
    }
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @Nested
  class StoreOutage {
    /** Guards against a task that is started again because its end was not among those listed. */
    @Test
    void should_start_no_task_again_when_more_ends_wait_than_a_worker_lists() {
      // WHEN
      fixture.table.always(CommitOutcome.REFUSED);
      pass(4200);
      fixture.table.always(CommitOutcome.DONE);

      // THEN
      assertAllSucceed();
    }

    /** Guards against a worker that is taken for faulty because its ends cannot be listed. */
    @Test
    void should_not_quarantine_a_worker_whose_ends_are_not_all_listed() {
      // WHEN
      fixture.table.always(CommitOutcome.REFUSED);
      pass(8000);

      // THEN
      assertThat(fixture.events).noneMatch(event -> event.startsWith("task-stands"));
    }

    /** Guards against work whose ends nobody can see before the store is back. */
    @Test
    void should_start_nothing_on_a_worker_whose_ends_are_not_all_listed() {
      // GIVEN
      fixture.table.always(CommitOutcome.REFUSED);
      pass(4200);
      final int starts = fixture.workers.starts().size();

      // WHEN
      pass(2000);

      // THEN
      assertThat(fixture.workers.starts()).hasSize(starts).hasSizeLessThan(JOBS * TASKS);
    }
  }

  @Nested
  class NewLeader {
    /** Guards against a leader that takes the first answer for all that ended on a worker. */
    @Test
    void should_start_no_task_again_that_ended_under_the_former_leader() {
      // GIVEN
      State idle = fixture.workers.add("w3", "r1", 32_000);
      idle.silent = true;
      fixture.cell.register(idle.entry);
      pass(50);
      fixture.table.always(CommitOutcome.SILENT);
      pass(2500);

      // WHEN
      fixture.table.always(CommitOutcome.DONE);
      idle.silent = false;
      fixture.lead();

      // THEN
      assertAllSucceed();
    }
  }
}

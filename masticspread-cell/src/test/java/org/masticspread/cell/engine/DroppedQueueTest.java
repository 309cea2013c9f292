package org.masticspread.cell.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.CellFixture;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.cell.AdviceRule;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.JobState;
import org.masticspread.model.cell.QueueRule;
import org.masticspread.model.cell.Recurrence;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.resource.ResourceVector;

/**
 * Guards against accepted jobs that stand still, or fail without cause, when their queue leaves the
 * configuration.
 */
class DroppedQueueTest {
  private static final Duration RUN_TIME = Duration.ofMillis(500);
  private static final AdviceRule ADVICE =
      new AdviceRule(Duration.ofMillis(10), Duration.ofMillis(1), Duration.ofSeconds(2));

  private final CellFixture fixture =
      new CellFixture(
          Jobs.config(
              Jobs.queue("checks", 0, Optional.empty()),
              Jobs.queue("layouts", 1, Optional.of(ADVICE))));

  @BeforeEach
  void lead() {
    fixture.workers.add("w1", "r1", 4000);
    fixture.workers.add("w2", "r1", 4000);
    fixture.workers.add("x1", "annex", "r2", 4000);
    fixture.lead();
    pass(100);
  }

  @AfterEach
  void should_never_violate_an_invariant() {
    assertThat(fixture.workers.violations()).isEmpty();
  }

  private void pass(long millis) {
    fixture.time.pass(Duration.ofMillis(millis));
  }

  private JobOrder chain(String id, String queue) {
    fixture.workers.describe(id, new ResourceVector(500, 1024, 0), RUN_TIME);
    return Jobs.job(
        id,
        queue,
        Jobs.step(2, 500, RUN_TIME, false),
        Jobs.step(2, 500, RUN_TIME, false, List.of(0)));
  }

  private static CellConfig without(long version) {
    return Jobs.config(version, Jobs.queue("other", 0, Optional.empty()));
  }

  private void drop(long version) {
    fixture.config = without(version);
    fixture.cell.configure(fixture.config);
  }

  /** Moves the queue "checks" to the endpoint "annex". */
  private void move(long version) {
    QueueRule moved = Jobs.queue("checks", "annex", 0, Optional.empty());
    fixture.config = Jobs.config(version, moved);
    fixture.cell.configure(fixture.config);
  }

  /** Kills the leader and starts the next one. */
  private void failOver() {
    fixture.cell.close();
    fixture.lead();
  }

  private JobState endState(String id) {
    return fixture.state(id);
  }

  private List<String> workersOf(String step) {
    return fixture.workers.starts().stream()
        .filter(start -> start.contains(" " + step + "."))
        .map(start -> start.split(" ")[0])
        .distinct()
        .toList();
  }

  @Nested
  class SameLeader {
    @Test
    void should_start_the_later_steps() {
      // GIVEN
      fixture.accept(chain("a", "checks"));

      // WHEN
      drop(2);
      pass(2000);

      // THEN
      assertThat(fixture.workers.succeeded()).hasSize(4);
    }

    @Test
    void should_retry_failed_tasks_as_often_as_the_queue_allowed() {
      // GIVEN
      fixture.workers.state("w1").failsAll = true;
      fixture.workers.state("w2").failsAll = true;
      fixture.accept(chain("a", "checks"));

      // WHEN
      drop(2);
      pass(RUN_TIME.toMillis() + 200);
      fixture.workers.state("w1").failsAll = false;
      fixture.workers.state("w2").failsAll = false;
      pass(8000);

      // THEN
      assertThat(fixture.workers.succeeded()).hasSize(4);
    }

    @Test
    void should_fail_a_job_that_failed_as_often_as_the_queue_allowed() {
      // GIVEN
      fixture.accept(chain("a", "checks"));
      fixture.workers.describeFailing("a");

      // WHEN
      drop(2);
      pass(10_000);

      // THEN
      fixture.cell.configure(Jobs.config(3, Jobs.queue("checks", 0, Optional.empty())));
      assertThat(endState("a")).isEqualTo(JobState.FAILED);
      assertThat(fixture.startsOf("a.0.0.0")).isLessThanOrEqualTo(3);
    }

    @Test
    void should_start_steps_that_need_advice() {
      // GIVEN
      fixture.accept(chain("a", "layouts"));

      // WHEN
      drop(2);
      pass(2500);

      // THEN
      assertThat(fixture.workers.succeeded()).hasSize(4);
    }

    @Test
    void should_start_gangs() {
      // GIVEN
      fixture.workers.describe("g", new ResourceVector(500, 1024, 0), RUN_TIME);
      fixture.workers.describeGang("g.0.0", 3);
      fixture.workers.describeGang("g.0.1", 3);
      StepSpec first = Jobs.step(3, 500, RUN_TIME, true);
      StepSpec second = Jobs.step(3, 500, RUN_TIME, true, List.of(0));
      fixture.accept(Jobs.job("g", "layouts", first, second));

      // WHEN
      drop(2);
      pass(4000);

      // THEN
      assertThat(fixture.workers.succeeded()).hasSize(6);
    }

    @Test
    void should_start_later_occurrences_of_timed_jobs() {
      // GIVEN
      fixture.workers.describe("t", new ResourceVector(500, 1024, 0), RUN_TIME);
      Recurrence recurrence =
          new Recurrence(3, fixture.time.instant().plusSeconds(1), Duration.ofSeconds(2));
      StepSpec step = Jobs.step(1, 500, RUN_TIME, false);
      fixture.accept(new JobOrder("t", "checks", "payload", List.of(step), recurrence));

      // WHEN
      drop(2);
      pass(7000);

      // THEN
      assertThat(fixture.workers.succeeded()).containsExactly("t.0.0.0", "t.1.0.0", "t.2.0.0");
    }

    @Test
    void should_use_the_newest_rule_that_the_queue_had() {
      // GIVEN
      fixture.accept(chain("a", "checks"));
      pass(200);

      // WHEN
      move(2);
      pass(50);
      drop(3);
      pass(3000);

      // THEN
      assertThat(workersOf("a.0.1")).containsExactly("x1");
    }

    @Test
    void should_use_the_rule_of_the_configuration_once_the_queue_is_back() {
      // GIVEN
      fixture.accept(chain("a", "checks"));
      drop(2);
      pass(100);

      // WHEN
      move(3);
      pass(3000);

      // THEN
      assertThat(workersOf("a.0.1")).containsExactly("x1");
    }
  }

  @Nested
  class NewLeaderWhileTheQueueIsAway {
    @Test
    void should_start_the_later_steps() {
      // GIVEN
      fixture.accept(chain("a", "checks"));
      drop(2);

      // WHEN
      failOver();
      pass(8000);

      // THEN
      assertThat(fixture.workers.succeeded()).hasSize(4);
    }

    @Test
    void should_start_the_later_steps_if_no_leader_saw_the_queue_leave() {
      // GIVEN
      fixture.accept(chain("a", "layouts"));
      fixture.config = without(2);

      // WHEN
      failOver();
      pass(8000);

      // THEN
      assertThat(fixture.workers.succeeded()).hasSize(4);
    }

    @Test
    void should_use_the_newest_rule_that_the_queue_had() {
      // GIVEN
      fixture.accept(chain("a", "checks"));
      pass(200);
      move(2);
      pass(50);
      drop(3);

      // WHEN
      failOver();
      pass(8000);

      // THEN
      assertThat(workersOf("a.0.1")).containsExactly("x1");
    }

    @Test
    void should_not_fail_jobs_that_were_stored_without_the_rule_of_their_queue() {
      // GIVEN
      fixture.accept(chain("a", "checks"));
      fixture.workers.describeFailing("a");
      fixture.table.deleteAll("queues");
      fixture.config = without(2);

      // WHEN
      failOver();
      pass(3000);

      // THEN
      fixture.cell.configure(Jobs.config(3, Jobs.queue("checks", 0, Optional.empty())));
      assertThat(endState("a")).isNotEqualTo(JobState.FAILED);
    }
  }

  @Nested
  class StoredRules {
    @Test
    void should_be_deleted_once_no_open_job_needs_them() {
      // GIVEN
      fixture.accept(chain("a", "checks"));
      assertThat(fixture.table.rowsOf("queues")).hasSize(1);

      // WHEN
      drop(2);
      pass(20_000);

      // THEN
      assertThat(fixture.table.rowsOf("queues")).isEmpty();
    }

    @Test
    void should_be_written_once_for_many_jobs() {
      // WHEN
      for (int i = 0; i < 20; i++) {
        fixture.accept(chain("job" + i, "checks"));
      }
      pass(5000);

      // THEN
      assertThat(fixture.table.commits())
          .filteredOn(
              commit -> commit.puts().stream().anyMatch(p -> p.row().table().equals("queues")))
          .hasSize(1);
    }
  }
}

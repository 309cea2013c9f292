package org.masticspread.cell.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.CellFixture;
import org.masticspread.cell.testing.FakeTable.CommitOutcome;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.resource.ResourceVector;

/** Tests for how long a cell may act, with five workers. */
class LeadershipProofTest {
  private final CellFixture fixture =
      new CellFixture(Jobs.config(Jobs.queue("checks", 0, Optional.empty())));

  @BeforeEach
  void lead() {
    List.of("w1", "w2", "w3", "w4", "w5").forEach(id -> fixture.workers.add(id, "r1", 1000));
    fixture.lead();
    pass(2000);
    assertThat(fixture.cell.leads()).isTrue();
  }

  private void pass(long millis) {
    fixture.time.pass(Duration.ofMillis(millis));
  }

  private void silence(String... workers) {
    for (String worker : workers) {
      fixture.workers.state(worker).silent = true;
    }
  }

  @Nested
  class Commits {
    @Test
    void should_hold_while_commits_succeed_and_no_worker_answers() {
      // WHEN
      silence("w1", "w2", "w3", "w4", "w5");
      pass(5000);

      // THEN
      assertThat(fixture.cell.leads()).isTrue();
    }
  }

  @Nested
  class AnswersOfWorkers {
    @BeforeEach
    void loseStore() {
      fixture.table.always(CommitOutcome.SILENT);
    }

    @Test
    void should_hold_while_a_majority_answers() {
      // WHEN
      silence("w1", "w2");
      pass(20_000);

      // THEN
      assertThat(fixture.cell.leads()).isTrue();
    }

    @Test
    void should_not_hold_once_no_majority_has_answered_for_a_while() {
      // WHEN
      silence("w1", "w2", "w3");
      pass(4200);

      // THEN
      assertThat(fixture.cell.leads()).isFalse();
    }

    @Test
    void should_hold_again_when_a_majority_answers_again() {
      // GIVEN
      silence("w1", "w2", "w3");
      pass(5000);

      // WHEN
      fixture.workers.state("w1").silent = false;
      pass(1000);

      // THEN
      assertThat(fixture.cell.leads()).isTrue();
    }

    @Test
    void should_not_count_workers_that_were_started_anew_since_the_last_commit() {
      // WHEN
      silence("w1", "w2");
      fixture.workers.restart("w3");
      pass(5000);

      // THEN
      assertThat(fixture.cell.leads()).isFalse();
    }

    @Test
    void should_end_a_minute_after_the_last_commit() {
      // WHEN
      pass(63_000);

      // THEN
      assertThat(fixture.cell.leads()).isFalse();
    }
  }

  @Nested
  class Fence {
    /** Guards against a leader that goes on after a worker has shown it that another VM leads. */
    @Test
    void should_not_hold_after_one_worker_has_seen_a_higher_token() {
      // GIVEN
      final Cell former = fixture.cell;
      fixture.workers.state("w2").silent = true;
      fixture.workers.state("w3").silent = true;
      fixture.workers.state("w4").silent = true;
      fixture.workers.state("w5").silent = true;
      fixture.lead();

      // WHEN
      pass(1100);

      // THEN
      assertThat(former.leads()).isFalse();
      assertThat(fixture.cell.leads()).isTrue();
    }
  }

  @Nested
  class Suspension {
    /** Guards against a VM that acts by a proof from before it was suspended. */
    @Test
    void should_void_proofs_from_before_the_vm_was_suspended() {
      // GIVEN
      fixture.table.always(CommitOutcome.SILENT);
      silence("w1", "w2", "w3", "w4", "w5");

      // WHEN
      fixture.timeOfDayAhead = Duration.ofSeconds(5);

      // THEN
      assertThat(fixture.cell.leads()).isFalse();
    }

    @Test
    void should_hold_again_after_the_next_commit() {
      // WHEN
      fixture.timeOfDayAhead = Duration.ofSeconds(5);
      pass(1200);

      // THEN
      assertThat(fixture.cell.leads()).isTrue();
    }
  }

  @Nested
  class Leases {
    /** Guards against leases that outlast what a new leader waits for. */
    @Test
    void should_let_leases_end_within_the_horizon_after_the_last_proof() {
      // GIVEN
      fixture.workers.describe("a", new ResourceVector(1000, 1024, 0), Duration.ofSeconds(60));
      fixture.accept(Jobs.job("a", Jobs.step(5, 1000, Duration.ofSeconds(60), false)));
      pass(1000);

      // WHEN
      fixture.table.always(CommitOutcome.SILENT);
      silence("w1", "w2", "w3");
      long lastProof = fixture.time.millis();
      pass(LeadershipProof.LEASE_HORIZON.toMillis() + 10);

      // THEN
      assertThat(fixture.time.millis() - lastProof).isLessThan(4100);
      assertThat(fixture.workers.runs("a.0.0.0")).isFalse();
      assertThat(fixture.workers.runs("a.0.0.4")).isFalse();
    }
  }
}

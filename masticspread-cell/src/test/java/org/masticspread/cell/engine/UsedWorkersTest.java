package org.masticspread.cell.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.CellFixture;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.CellReply.Outcome;
import org.masticspread.model.resource.ResourceVector;

class UsedWorkersTest {
  private static final Duration RUN_TIME = Duration.ofMillis(300);

  private final CellFixture fixture =
      new CellFixture(Jobs.config(Jobs.queue("checks", 0, Optional.empty())));

  @BeforeEach
  void lead() {
    fixture.workers.add("w1", "r1", 4000);
    fixture.lead();
    pass(500);
    assertThat(fixture.cell.usableWorkers()).isEqualTo(1);
  }

  private void pass(long millis) {
    fixture.time.pass(Duration.ofMillis(millis));
  }

  /** Guards against a worker that stays unlisted, as it came back before that was durable. */
  @Test
  void should_list_a_worker_again_that_registers_while_its_removal_is_being_written() {
    // GIVEN
    fixture.table.commitTime(Duration.ofMillis(600));
    fixture.cell.unregister("w1");
    pass(300);

    // WHEN
    fixture.cell.register(fixture.workers.state("w1").entry);
    pass(5000);

    // THEN
    fixture.workers.describe("a", new ResourceVector(500, 1024, 0), RUN_TIME);
    List<CellReply> replies = fixture.submit(Jobs.job("a", Jobs.step(1, 500, RUN_TIME, false)));
    pass(3000);
    assertThat(replies).extracting(CellReply::outcome).containsExactly(Outcome.ACCEPTED);
    assertThat(fixture.workers.succeeded()).containsExactly("a.0.0.0");
    assertThat(fixture.table.rowsOf("used-workers")).hasSize(1);
  }

  /** Guards against tasks that a new leader cannot find, as their worker is not listed. */
  @Test
  void should_start_nothing_on_a_worker_before_it_is_listed_again() {
    // GIVEN
    fixture.table.commitTime(Duration.ofMillis(600));
    fixture.cell.unregister("w1");
    pass(300);

    // WHEN
    fixture.cell.register(fixture.workers.state("w1").entry);
    pass(50);

    // THEN
    assertThat(fixture.cell.usableWorkers()).isZero();
  }
}

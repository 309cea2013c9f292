package org.masticspread.node.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.model.work.JobPhase;
import org.masticspread.model.work.JobSpec;
import org.masticspread.node.trial.TrialCell;
import org.masticspread.node.trial.TrialWork;

class LostStopTest {
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void should_stop_cancelled_tasks_when_the_first_stop_orders_are_lost(boolean ownersChange) {
    // GIVEN
    TrialCell cell = TrialCell.of(3, 1).warmUp();
    List<JobSpec> jobs =
        IntStream.range(0, 6).mapToObj(i -> TrialWork.service("service-" + i, 2)).toList();
    jobs.forEach(j -> cell.submit(1, j));
    cell.advance(Duration.ofSeconds(8));
    cell.faults().on("worker.order").between(cell.now(), cell.now().plusSeconds(3)).down();
    // WHEN
    jobs.forEach(j -> cell.cancel(2, j));
    cell.advance(Duration.ofSeconds(3));
    for (int vm = 1; ownersChange && vm <= cell.size(); vm++) {
      cell.restart(vm);
    }
    cell.advance(Duration.ofSeconds(60));
    // THEN
    assertThat(cell.platform().workers().runs()).hasSize(12).allMatch(r -> r.ended() != null);
    assertThat(jobs).allMatch(j -> cell.read(j).orElseThrow().phase() == JobPhase.CANCELLED);
    assertThat(cell.violations()).isEmpty();
  }
}

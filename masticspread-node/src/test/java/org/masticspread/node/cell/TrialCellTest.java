package org.masticspread.node.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobPhase;
import org.masticspread.model.work.JobSpec;
import org.masticspread.node.trial.TrialCell;
import org.masticspread.node.trial.TrialWork;

class TrialCellTest {
  @Test
  void should_serve_requests_and_jobs_without_faults() {
    // GIVEN
    TrialCell cell = TrialCell.of(3, 1).warmUp();
    JobSpec batch = TrialWork.batch("batch-1", 6, true, Duration.ofSeconds(3));
    JobSpec gang = TrialWork.gang("gang-1", 6, Duration.ofSeconds(3));
    // WHEN
    for (int i = 0; i < 30; i++) {
      cell.send(1 + i % 3, TrialWork.read("read-" + i, cell.now()));
      cell.send(1 + i % 3, TrialWork.order("order-" + i, cell.now()));
    }
    cell.submit(1, batch);
    cell.submit(2, gang);
    cell.advance(Duration.ofSeconds(30));
    // THEN
    assertThat(cell.answered(ResultCode.OK)).isEqualTo(60);
    assertThat(cell.read(batch).orElseThrow().phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(cell.read(gang).orElseThrow().phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(cell.violations()).isEmpty();
  }
}

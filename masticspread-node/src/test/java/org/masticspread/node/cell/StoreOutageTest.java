package org.masticspread.node.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobPhase;
import org.masticspread.model.work.JobSpec;
import org.masticspread.node.trial.TrialCell;
import org.masticspread.node.trial.TrialWork;
import org.masticspread.platform.standin.TaskRun;

class StoreOutageTest {
  private static final Duration OUTAGE = Duration.ofHours(1);
  private static final Duration ONE_MINUTE = Duration.ofMinutes(1);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

  @Test
  void should_keep_serving_for_an_hour_and_refuse_only_durable_work() {
    // GIVEN
    TrialCell cell = TrialCell.of(2, 1).warmUp();
    JobSpec service = TrialWork.service("service", 2);
    JobSpec batch = TrialWork.batch("batch", 60, true, Duration.ofMinutes(4));
    cell.submit(1, service);
    cell.submit(2, batch);
    cell.advance(ANSWER_TIMEOUT);
    Instant end = storeDown(cell, OUTAGE);
    // WHEN
    List<String> reads = new ArrayList<>();
    List<String> orders = new ArrayList<>();
    for (int i = 0; cell.now().isBefore(end.minus(ONE_MINUTE)); i++) {
      reads.add(cell.send(1 + i % 2, TrialWork.read("read-" + i, cell.now())));
      orders.add(cell.send(1 + i % 2, TrialWork.order("order-" + i, cell.now())));
      cell.advance(ONE_MINUTE);
    }
    // THEN
    assertThat(reads).allMatch(s -> hasCode(cell, s, ResultCode.OK));
    assertThat(orders).allMatch(s -> hasCode(cell, s, ResultCode.STORE_UNAVAILABLE));
    assertThat(runsOf(cell, service)).hasSize(2).allMatch(r -> r.ended() == null);
    assertThat(runsOf(cell, batch)).hasSize(60).allMatch(r -> r.ended() != null);
    cell.advance(ONE_MINUTE.multipliedBy(2));
    assertThat(cell.read(batch).orElseThrow().phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(runsOf(cell, service)).hasSize(2).allMatch(r -> r.ended() == null);
    assertThat(cell.violations()).isEmpty();
  }

  @Test
  void should_serve_idempotent_requests_at_a_vm_that_starts_during_an_outage() {
    // GIVEN
    TrialCell cell = TrialCell.of(3, 1).warmUp();
    storeDown(cell, ONE_MINUTE);
    // WHEN
    cell.restart(3);
    cell.advance(Duration.ofSeconds(3));
    String read = cell.send(3, TrialWork.read("read", cell.now()));
    final String order = cell.send(3, TrialWork.order("order", cell.now()));
    cell.advance(ANSWER_TIMEOUT);
    // THEN
    assertThat(cell.inForce(3)).isEqualTo(cell.inForce(1));
    assertThat(cell.codeOf(read)).contains(ResultCode.OK);
    assertThat(cell.codeOf(order)).contains(ResultCode.STORE_UNAVAILABLE);
  }

  private static Instant storeDown(TrialCell cell, Duration time) {
    Instant end = cell.now().plus(time);
    cell.faults().on("table").between(cell.now(), end).down();
    cell.faults().on("objects").between(cell.now(), end).down();
    return end;
  }

  private static boolean hasCode(TrialCell cell, String send, ResultCode code) {
    return cell.codeOf(send).equals(Optional.of(code));
  }

  private static List<TaskRun> runsOf(TrialCell cell, JobSpec job) {
    return cell.platform().workers().runs().stream()
        .filter(r -> r.task().task().job().equals(job.key()))
        .toList();
  }
}

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
  private static final Duration ROUND = Duration.ofMinutes(1);
  private static final Duration ANSWERED = Duration.ofSeconds(5);

  @Test
  void should_go_on_for_an_hour_and_refuse_only_what_must_be_durable() {
    // GIVEN
    TrialCell cell = TrialCell.of(2, 1).warmUp();
    JobSpec service = TrialWork.service("service", 2);
    JobSpec batch = TrialWork.batch("batch", 60, true, Duration.ofMinutes(4));
    cell.submit(1, service);
    cell.submit(2, batch);
    cell.advance(ANSWERED);
    Instant end = storeDown(cell, OUTAGE);
    // WHEN
    List<String> reads = new ArrayList<>();
    List<String> orders = new ArrayList<>();
    for (int i = 0; cell.now().isBefore(end.minus(ROUND)); i++) {
      reads.add(cell.send(1 + i % 2, TrialWork.read("read-" + i, cell.now())));
      orders.add(cell.send(1 + i % 2, TrialWork.order("order-" + i, cell.now())));
      cell.advance(ROUND);
    }
    // THEN
    assertThat(reads).allMatch(s -> told(cell, s, ResultCode.OK));
    assertThat(orders).allMatch(s -> told(cell, s, ResultCode.STORE_UNAVAILABLE));
    assertThat(runsOf(cell, service)).hasSize(2).allMatch(r -> r.ended() == null);
    assertThat(runsOf(cell, batch)).hasSize(60).allMatch(r -> r.ended() != null);
    cell.advance(ROUND.multipliedBy(2));
    assertThat(cell.read(batch).orElseThrow().phase()).isEqualTo(JobPhase.SUCCEEDED);
    assertThat(runsOf(cell, service)).hasSize(2).allMatch(r -> r.ended() == null);
    assertThat(cell.violations()).isEmpty();
  }

  @Test
  void should_serve_idempotent_requests_at_a_vm_that_boots_without_the_store() {
    // GIVEN
    TrialCell cell = TrialCell.of(3, 1).warmUp();
    storeDown(cell, ROUND);
    // WHEN
    cell.restart(3);
    cell.advance(Duration.ofSeconds(3));
    String read = cell.send(3, TrialWork.read("read", cell.now()));
    final String order = cell.send(3, TrialWork.order("order", cell.now()));
    cell.advance(ANSWERED);
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

  private static boolean told(TrialCell cell, String send, ResultCode code) {
    return cell.codeOf(send).equals(Optional.of(code));
  }

  private static List<TaskRun> runsOf(TrialCell cell, JobSpec job) {
    return cell.platform().workers().runs().stream()
        .filter(r -> r.task().task().job().equals(job.key()))
        .toList();
  }
}

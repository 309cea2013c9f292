package org.masticspread.node.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.node.trial.TrialCell;
import org.masticspread.node.trial.TrialWork;

class RejoinTest {
  private static double gauge(TrialCell cell, int vm, String name) {
    Object value = cell.node(vm).metrics().getGauges().get(name).getValue();
    return ((Number) value).doubleValue();
  }

  private static double slots(TrialCell cell, int... vms) {
    return IntStream.of(vms).mapToDouble(vm -> gauge(cell, vm, "home.slots")).sum();
  }

  @Nested
  class Stop {
    @Test
    void should_hand_over_while_at_most_once_requests_keep_arriving() {
      // GIVEN
      TrialCell cell = TrialCell.of(3, 5).warmUp();
      for (int i = 0; i < 160; i++) {
        int number = i;
        cell.later(
            Duration.ofMillis(50L * i),
            () -> cell.send(1 + 2 * (number % 2), TrialWork.order("order-" + number, cell.now())));
      }
      // WHEN
      cell.later(Duration.ofSeconds(1), () -> cell.stop(2));
      cell.advance(Duration.ofSeconds(8));
      boolean stopped = cell.stoppedCompletely(2);
      cell.advance(Duration.ofSeconds(10));
      // THEN
      assertThat(stopped).isTrue();
      assertThat(cell.answered(ResultCode.OK)).isEqualTo(160);
      assertThat(cell.violations()).isEmpty();
    }
  }

  @Nested
  class Homes {
    @Test
    void should_move_homes_off_a_dead_vm_that_is_still_listed() {
      // GIVEN
      TrialCell cell = TrialCell.of(3, 5).warmUp();
      final double before = slots(cell, 1, 2, 3);
      // WHEN
      cell.kill(2);
      cell.advance(Duration.ofSeconds(9));
      // THEN
      assertThat(before).isPositive();
      assertThat(slots(cell, 1, 3)).isEqualTo(before);
    }
  }

  @Nested
  class NewIncarnation {
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void should_own_shards_again_after_a_pause_longer_than_the_session_ttl(int pauses) {
      // GIVEN
      TrialCell cell = TrialCell.of(3, 5).warmUp();
      // WHEN
      for (int i = 0; i < pauses; i++) {
        cell.pause(2, Duration.ofSeconds(20));
        cell.advance(Duration.ofSeconds(60));
      }
      // THEN
      assertThat(gauge(cell, 2, "shards.owned")).isPositive();
      assertThat(cell.violations()).isEmpty();
    }
  }

  @Nested
  class Repeat {
    @Test
    void should_run_a_repeated_request_that_was_reported_as_not_run() {
      // GIVEN
      TrialCell cell = TrialCell.of(3, 5).warmUp();
      Instant start = cell.now();
      cell.faults().on("endpoint.call").between(start, start.plusMillis(500)).down();
      RequestSpec first = TrialWork.order("order-1", start);
      final String refused = cell.send(1, first);
      cell.advance(Duration.ofMillis(600));
      // WHEN
      RequestSpec repeat = TrialWork.order("order-1", cell.now());
      String sent = cell.send(1, repeat);
      cell.advance(Duration.ofSeconds(5));
      // THEN
      assertThat(cell.codeOf(refused)).hasValueSatisfying(RejoinTest::assertNotRun);
      assertThat(cell.codeOf(sent)).contains(ResultCode.OK);
      assertThat(cell.violations()).isEmpty();
    }
  }

  private static void assertNotRun(ResultCode code) {
    assertThat(code.runState()).isEqualTo(RunState.NOT_RUN);
  }
}

package org.masticspread.node.stop;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GracefulStopTest {
  private final FakeNode node = new FakeNode();
  private Instant now = Instant.EPOCH;
  private final GracefulStop stop =
      new GracefulStop(node, () -> now, Duration.ofSeconds(30), Duration.ofSeconds(1));

  private static final class FakeNode implements GracefulStop.Stoppable {
    private int announcements;
    private int inFlight = 2;
    private boolean handedOver = true;
    private boolean refusesNewWork;

    @Override
    public void announceStop() {
      announcements++;
    }

    @Override
    public Map<String, Integer> inFlight() {
      return Map.of("requests", inFlight);
    }

    @Override
    public boolean handOver() {
      return handedOver;
    }

    @Override
    public void refuseNewWork() {
      refusesNewWork = true;
    }
  }

  private boolean stepAt(int second) {
    now = Instant.EPOCH.plusSeconds(second);
    return stop.step();
  }

  @Nested
  class Step {
    @Test
    void should_announce_then_hand_over_then_refuse_and_wait_for_work_in_flight() {
      // GIVEN
      node.handedOver = false;
      final boolean whileNotifying = stepAt(0);
      final boolean whileHandingOver = stepAt(2);
      final boolean refusedEarly = node.refusesNewWork;
      node.handedOver = true;
      final boolean whileBusy = stepAt(3);
      // THEN
      assertThat(whileNotifying || whileHandingOver || refusedEarly || whileBusy).isFalse();
      assertThat(node.refusesNewWork).isTrue();
      node.inFlight = 0;
      assertThat(stepAt(4)).isTrue();
      assertThat(stop.isComplete()).isTrue();
      assertThat(node.announcements).isEqualTo(1);
    }

    @Test
    void should_hand_over_nothing_before_the_notice_period_ends() {
      // GIVEN
      node.inFlight = 0;
      boolean early = stepAt(0);
      // THEN
      assertThat(early).isFalse();
      assertThat(node.refusesNewWork).isFalse();
      assertThat(stepAt(1)).isTrue();
    }

    @Test
    void should_end_at_its_timeout_and_report_that_work_was_left() {
      // GIVEN
      stepAt(0);
      // THEN
      assertThat(stepAt(31)).isTrue();
      assertThat(stop.isComplete()).isFalse();
    }

    @Test
    void should_end_at_once_when_forced() {
      // GIVEN
      stepAt(0);
      stop.force();
      // THEN
      assertThat(stepAt(1)).isTrue();
      assertThat(stop.isComplete()).isFalse();
    }
  }
}

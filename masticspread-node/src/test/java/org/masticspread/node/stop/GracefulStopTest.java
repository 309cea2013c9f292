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
    private int left;
    private int inFlight = 2;
    private boolean handedOver = true;

    @Override
    public void leave() {
      left++;
    }

    @Override
    public Map<String, Integer> inFlight() {
      return Map.of("requests", inFlight);
    }

    @Override
    public boolean handOver() {
      return handedOver;
    }
  }

  private boolean stepAt(int second) {
    now = Instant.EPOCH.plusSeconds(second);
    return stop.step();
  }

  @Nested
  class Step {
    @Test
    void should_wait_for_what_is_in_flight_and_then_be_quiet_before_it_hands_over() {
      // GIVEN
      final boolean whileBusy = stepAt(0) || stepAt(5);
      node.inFlight = 0;
      final boolean whileQuiet = stepAt(6);
      node.inFlight = 1;
      final boolean whileBusyAgain = stepAt(8);
      node.inFlight = 0;
      final boolean whileQuietAgain = stepAt(9);
      // THEN
      assertThat(whileBusy || whileQuiet || whileBusyAgain || whileQuietAgain).isFalse();
      assertThat(stepAt(10)).isTrue();
      assertThat(stop.isWhole()).isTrue();
      assertThat(node.left).isEqualTo(1);
    }

    @Test
    void should_wait_until_the_shards_are_handed_over() {
      // GIVEN
      node.inFlight = 0;
      node.handedOver = false;
      stepAt(0);
      // THEN
      assertThat(stepAt(2)).isFalse();
      node.handedOver = true;
      assertThat(stepAt(3)).isTrue();
    }

    @Test
    void should_end_at_its_bound_and_tell_that_work_was_left() {
      // GIVEN
      stepAt(0);
      // THEN
      assertThat(stepAt(31)).isTrue();
      assertThat(stop.isWhole()).isFalse();
    }

    @Test
    void should_end_at_once_when_forced() {
      // GIVEN
      stepAt(0);
      stop.force();
      // THEN
      assertThat(stepAt(1)).isTrue();
      assertThat(stop.isWhole()).isFalse();
    }
  }
}

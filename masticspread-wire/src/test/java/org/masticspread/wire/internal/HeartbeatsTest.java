package org.masticspread.wire.internal;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.embedded.EmbeddedChannel;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.id.VmId;
import org.masticspread.wire.WireSettings;

/** When a connection counts as silent. */
class HeartbeatsTest {
  private static final WireSettings SETTINGS = WireSettings.defaults();

  private final TestScheduler time = new TestScheduler();
  private final MetricRegistry metrics = new MetricRegistry();
  private final Wire wire =
      new Wire(
          SETTINGS,
          VmId.of("a"),
          "",
          new ClusterKey(new byte[16]),
          new WireMetrics(metrics),
          time,
          Runnable::run,
          Runnable::run);
  private final EmbeddedChannel channel = new EmbeddedChannel(new Heartbeats(wire, VmId.of("b")));

  private void pass(int beats) {
    time.advanceTimeBy(beats * SETTINGS.heartbeat().toNanos(), TimeUnit.NANOSECONDS);
    channel.runPendingTasks();
  }

  @ParameterizedTest
  @CsvSource({
    "..., false",
    ".., true",
    ".h.., true",
    ".h..., false",
    "..h..h.., true",
    "hhh, true"
  })
  void should_close_after_two_missed_heartbeats(String script, boolean open) {
    // WHEN
    for (char step : script.toCharArray()) {
      if (step == 'h') {
        channel.writeInbound(Frame.control(Frame.HEARTBEAT));
      } else {
        pass(1);
      }
    }

    // THEN
    assertThat(channel.isActive()).isEqualTo(open);
    assertThat(metrics.counter("wire.silent.connections").getCount()).isEqualTo(open ? 0 : 1);
    assertThat((Object) channel.readInbound()).isNull();
  }

  @Test
  void should_not_take_its_own_pause_for_silence() {
    // GIVEN
    pass(1);

    // WHEN
    pass(20);
    boolean open = channel.isActive();
    pass(1);

    // THEN
    assertThat(open).isTrue();
    assertThat(channel.isActive()).isFalse();
  }
}

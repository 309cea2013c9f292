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

/** Tests when a connection counts as silent. */
class HeartbeatHandlerTest {
  private static final WireSettings SETTINGS = WireSettings.defaults();

  private final TestScheduler time = new TestScheduler();
  private final MetricRegistry metrics = new MetricRegistry();
  private final WireContext wire =
      new WireContext(
          SETTINGS,
          VmId.of("a"),
          "",
          new ClusterKey(new byte[16]),
          new WireMetrics(metrics),
          time,
          Runnable::run,
          Runnable::run);
  private final EmbeddedChannel channel =
      new EmbeddedChannel(new HeartbeatHandler(wire, VmId.of("b")));

  private void advance(int beats) {
    time.advanceTimeBy(beats * SETTINGS.heartbeatInterval().toNanos(), TimeUnit.NANOSECONDS);
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
        advance(1);
      }
    }

    // THEN
    assertThat(channel.isActive()).isEqualTo(open);
    assertThat(metrics.counter("wire.silent.connections").getCount()).isEqualTo(open ? 0 : 1);
    assertThat((Object) channel.readInbound()).isNull();
  }

  @Test
  void should_not_treat_a_pause_of_this_process_as_a_silent_peer() {
    // GIVEN
    advance(1);

    // WHEN
    advance(20);
    boolean open = channel.isActive();
    advance(1);

    // THEN
    assertThat(open).isTrue();
    assertThat(channel.isActive()).isFalse();
  }
}

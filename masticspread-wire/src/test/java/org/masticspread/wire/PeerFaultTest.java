package org.masticspread.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.masticspread.wire.WireFixture.answer;
import static org.masticspread.wire.WireFixture.await;
import static org.masticspread.wire.WireFixture.error;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.model.peer.FetchConfig;
import org.masticspread.model.peer.GangReserved;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.wire.FrameProxy.Filter;

/** Tests calls over a faulty connection between two VMs. */
class PeerFaultTest {
  private static final byte[] OVERSIZED = ByteBuffer.allocate(8).putInt(100_001).array();
  private static final byte[] NEGATIVE = ByteBuffer.allocate(8).putInt(-5).array();
  private static final byte[] GARBAGE = {0, 0, 0, 3, 1, 2, 3};

  private static Filter to(boolean server, FrameFilter one) {
    return (toServer, frame) -> toServer == server ? one.apply(frame) : List.of(frame);
  }

  private static final Map<String, FrameFilter> FILTERS =
      Map.of(
          "cut", frame -> null,
          "oversize", frame -> List.of(OVERSIZED),
          "negative", frame -> List.of(NEGATIVE),
          "garbage", frame -> List.of(GARBAGE),
          "duplicate", frame -> List.of(frame, frame));

  private final AtomicInteger handled = new AtomicInteger();
  private WireFixture wire;

  /** Returns the bytes to send instead of a frame; null to close the connection. */
  private interface FrameFilter {
    List<byte[]> apply(byte[] frame);
  }

  private WireFixture open() throws Exception {
    wire = WireFixture.of((from, message) -> echo(message));
    return wire;
  }

  private CompletionStage<PeerMessage> echo(PeerMessage message) {
    handled.incrementAndGet();
    return CompletableFuture.completedStage(
        new GangReserved((int) ((FetchConfig) message).newerThan()));
  }

  @AfterEach
  void close() throws Exception {
    wire.close();
  }

  @ParameterizedTest
  @CsvSource({
    "cut, true, 0",
    "cut, false, 1",
    "oversize, true, 0",
    "oversize, false, 1",
    "negative, true, 0",
    "garbage, true, 0",
    "garbage, false, 1"
  })
  void should_fail_a_call_on_a_lost_connection_as_possibly_sent_and_reconnect(
      String fault, boolean toServer, int runs) throws Exception {
    // GIVEN
    open();
    answer(wire.call(new FetchConfig(1)));
    wire.proxy.filter(to(toServer, FILTERS.get(fault)));

    // WHEN
    PeerException error = error(wire.call(new FetchConfig(2)));
    PeerMessage next = answer(wire.call(new FetchConfig(3)));

    // THEN
    assertThat(error.mayHaveBeenSent()).isTrue();
    assertThat(next).isEqualTo(new GangReserved(3));
    assertThat(handled).hasValue(2 + runs);
    assertThat(wire.proxy.connections()).isEqualTo(2);
    assertThat(wire.count(wire.clientMetrics, "wire.reconnects")).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"true, 1, 0", "false, 0, 1"})
  void should_run_a_duplicate_call_once_and_drop_a_duplicate_answer(
      boolean toServer, long calls, long answers) throws Exception {
    // GIVEN
    open();
    answer(wire.call(new FetchConfig(1)));
    wire.proxy.filter(to(toServer, FILTERS.get("duplicate")));

    // WHEN
    PeerMessage second = answer(wire.call(new FetchConfig(2)));
    await(
        () ->
            wire.count(wire.serverMetrics, "wire.dropped.calls") == calls
                && wire.count(wire.clientMetrics, "wire.dropped.answers") == answers);

    // THEN
    assertThat(second).isEqualTo(new GangReserved(2));
    assertThat(handled).hasValue(2);
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void should_match_answers_to_calls_when_frames_are_reordered(boolean toServer) throws Exception {
    // GIVEN
    open();
    answer(wire.call(new FetchConfig(1)));
    List<byte[]> held = new ArrayList<>();
    wire.proxy.filter(
        to(
            toServer,
            frame -> {
              held.add(0, frame);
              if (held.size() < 3) {
                return List.of();
              }
              List<byte[]> all = List.copyOf(held);
              held.clear();
              return all;
            }));

    // WHEN
    List<CompletionStage<PeerMessage>> calls =
        IntStream.range(5, 8).mapToObj(i -> wire.call(new FetchConfig(i))).toList();

    // THEN
    for (int i = 0; i < 3; i++) {
      assertThat(answer(calls.get(i))).isEqualTo(new GangReserved(5 + i));
    }
  }

  @Test
  void should_end_a_call_at_its_deadline_and_drop_the_late_answer() throws Exception {
    // GIVEN
    open();
    answer(wire.call(new FetchConfig(1)));
    List<byte[]> late = Collections.synchronizedList(new ArrayList<>());
    wire.proxy.filter(
        to(
            false,
            frame -> {
              late.add(frame);
              return late.size() == 2 ? List.copyOf(late) : List.of();
            }));

    // WHEN
    PeerException error =
        error(wire.client.call(WireFixture.B, new FetchConfig(2), Duration.ofMillis(50)));
    PeerMessage next = answer(wire.call(new FetchConfig(3)));

    // THEN
    assertThat(error.mayHaveBeenSent()).isTrue();
    assertThat(next).isEqualTo(new GangReserved(3));
    assertThat(wire.count(wire.clientMetrics, "wire.dropped.answers")).isEqualTo(1);
  }

  @Test
  void should_detect_a_silent_connection_and_replace_it() throws Exception {
    // GIVEN
    TestScheduler time = new TestScheduler();
    wire =
        new WireFixture(
            WireFixture.SETTINGS, WireFixture.KEY, time, (from, message) -> echo(message));
    answer(wire.call(new FetchConfig(1)));
    wire.proxy.filter((direction, frame) -> List.of());
    final long before = wire.count(wire.clientMetrics, "wire.frames.out");
    CompletionStage<PeerMessage> lost =
        wire.client.call(WireFixture.B, new FetchConfig(2), Duration.ofDays(1));
    // Without this wait, the loop below could count the frame of the call as the first heartbeat.
    await(() -> wire.count(wire.clientMetrics, "wire.frames.out") > before);

    // WHEN
    long beat = WireFixture.SETTINGS.heartbeatInterval().toNanos();
    for (int beats = 0; beats < 3; beats++) {
      long sent = wire.count(wire.clientMetrics, "wire.frames.out");
      time.advanceTimeBy(beat, TimeUnit.NANOSECONDS);
      await(
          () ->
              wire.count(wire.clientMetrics, "wire.frames.out") > sent
                  || wire.count(wire.clientMetrics, "wire.silent.connections") > 0);
    }

    // THEN
    assertThat(error(lost).mayHaveBeenSent()).isTrue();
    assertThat(wire.count(wire.clientMetrics, "wire.silent.connections")).isEqualTo(1);
    await(() -> wire.proxy.connections() == 2);
    assertThat(answer(wire.call(new FetchConfig(3)))).isEqualTo(new GangReserved(3));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void should_run_each_call_at_most_once_and_no_call_that_was_not_sent(long seed) throws Exception {
    // GIVEN
    Map<Long, AtomicInteger> runs = new ConcurrentHashMap<>();
    wire =
        WireFixture.of(
            (from, message) -> {
              long number = ((FetchConfig) message).newerThan();
              runs.computeIfAbsent(number, n -> new AtomicInteger()).incrementAndGet();
              return echo(message);
            });
    SplittableRandom random = new SplittableRandom(seed);
    List<FrameFilter> faults =
        FILTERS.entrySet().stream()
            .sorted(Map.Entry.comparingByKey())
            .map(Map.Entry::getValue)
            .toList();
    wire.proxy.filterAll(
        (toServer, frame) -> {
          int fault;
          synchronized (random) {
            fault = random.nextInt(60);
          }
          return fault < faults.size() ? faults.get(fault).apply(frame) : List.of(frame);
        });

    // WHEN / THEN
    int answered = 0;
    for (long number = 1; number <= 400; number++) {
      int ran = 1;
      try {
        PeerMessage answer = answer(wire.call(new FetchConfig(number)));
        assertThat(answer).isEqualTo(new GangReserved((int) number));
        answered++;
      } catch (ExecutionException e) {
        ran = ((PeerException) e.getCause()).mayHaveBeenSent() ? -1 : 0;
      }
      int actualRuns = runs.getOrDefault(number, new AtomicInteger()).get();
      assertThat(actualRuns).isBetween(Math.max(0, ran), Math.abs(ran));
    }
    assertThat(answered).isBetween(50, 399);
    assertThat(runs.values()).allMatch(count -> count.get() == 1);
  }
}

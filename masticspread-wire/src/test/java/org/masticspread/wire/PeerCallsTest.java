package org.masticspread.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.masticspread.wire.WireFixture.answer;
import static org.masticspread.wire.WireFixture.await;
import static org.masticspread.wire.WireFixture.error;

import io.reactivex.rxjava3.schedulers.Schedulers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.masticspread.model.peer.FetchConfig;
import org.masticspread.model.peer.GangReserved;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerHandler;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.model.peer.RequestAnswered;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.Payload;

/** Tests the limits and errors of calls and the closing of clients and servers. */
class PeerCallsTest {
  private final List<CompletableFuture<PeerMessage>> deferred = new CopyOnWriteArrayList<>();
  private WireFixture wire;

  private CompletionStage<PeerMessage> deferAnswer(PeerMessage message) {
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    deferred.add(answer);
    return answer;
  }

  private void open(PeerHandler handler) throws Exception {
    wire = WireFixture.of(handler);
  }

  @AfterEach
  void close() throws Exception {
    wire.close();
  }

  @Test
  void should_refuse_calls_beyond_the_limit_before_sending() throws Exception {
    // GIVEN
    open((from, message) -> deferAnswer(message));
    final List<CompletionStage<PeerMessage>> calls =
        IntStream.range(0, 4).mapToObj(i -> wire.call(new FetchConfig(i))).toList();

    // WHEN
    PeerException error = error(wire.call(new FetchConfig(9)));
    await(() -> deferred.size() == 4);
    deferred.forEach(answer -> answer.complete(new GangReserved(1)));

    // THEN
    assertThat(error.mayHaveBeenSent()).isFalse();
    for (CompletionStage<PeerMessage> call : calls) {
      assertThat(answer(call)).isEqualTo(new GangReserved(1));
    }
  }

  @Test
  void should_refuse_calls_beyond_the_write_queue_before_sending() throws Exception {
    // GIVEN
    WireSettings base = WireFixture.SETTINGS;
    WireSettings manyCalls =
        new WireSettings(
            base.heartbeatInterval(),
            base.connectTimeout(),
            base.maxFrameBytes(),
            100_000,
            base.maxQueuedBytes(),
            base.initialBackoff(),
            base.maxBackoff(),
            base.closeTimeout());
    AtomicInteger handled = new AtomicInteger();
    wire =
        new WireFixture(
            manyCalls,
            WireFixture.KEY,
            Schedulers.computation(),
            (from, message) -> {
              handled.incrementAndGet();
              return CompletableFuture.completedStage(new GangReserved(1));
            });
    answer(wire.call(new FetchConfig(1)));
    CountDownLatch blocked = new CountDownLatch(1);
    wire.proxy.filter(
        (toServer, frame) -> {
          try {
            blocked.await();
          } catch (InterruptedException e) {
            return null;
          }
          return List.of(frame);
        });
    PeerMessage large = new RequestAnswered(Answer.ok(null, new Payload(new byte[90_000])));

    // WHEN
    List<CompletionStage<PeerMessage>> calls = new ArrayList<>();
    while (calls.isEmpty() || !calls.get(calls.size() - 1).toCompletableFuture().isDone()) {
      calls.add(wire.call(large));
    }
    blocked.countDown();

    // THEN
    int refused = 0;
    for (CompletionStage<PeerMessage> call : calls) {
      boolean answered = isAnswered(call);
      refused += answered ? 0 : 1;
    }
    assertThat(refused).isPositive();
    assertThat(handled).hasValue(1 + calls.size() - refused);
  }

  /**
   * Waits for a call and returns whether it was answered; otherwise checks that it was certainly
   * not sent.
   */
  private static boolean isAnswered(CompletionStage<PeerMessage> call) {
    try {
      answer(call);
      return true;
    } catch (ExecutionException e) {
      assertThat(((PeerException) e.getCause()).mayHaveBeenSent()).isFalse();
      return false;
    } catch (Exception e) {
      throw new AssertionError("the call did not end", e);
    }
  }

  @Test
  void should_never_send_a_call_that_ended_as_not_sent() throws Exception {
    // GIVEN
    Set<Long> ran = ConcurrentHashMap.newKeySet();
    open(
        (from, message) -> {
          ran.add(((FetchConfig) message).newerThan());
          return CompletableFuture.completedStage(new GangReserved(1));
        });
    Set<Long> notSent = new HashSet<>();

    // WHEN
    for (long number = 1; number <= 2000; number++) {
      Duration timeout = Duration.ofNanos(number % 7 * 5000);
      try {
        answer(wire.client.call(WireFixture.B, new FetchConfig(number), timeout));
      } catch (ExecutionException e) {
        if (!((PeerException) e.getCause()).mayHaveBeenSent()) {
          notSent.add(number);
        }
      }
    }
    await(() -> isAnswered(wire.call(new FetchConfig(0))));

    // THEN
    assertThat(notSent).isNotEmpty().doesNotContainAnyElementsOf(ran);
  }

  @Test
  void should_refuse_a_message_that_is_too_large_or_has_no_number() throws Exception {
    // GIVEN
    open((from, message) -> deferAnswer(message));
    PeerMessage large = new RequestAnswered(Answer.ok(null, new Payload(new byte[100_000])));

    // WHEN / THEN
    assertThat(error(wire.call(large)).mayHaveBeenSent()).isFalse();
    assertThat(error(wire.call(new PeerMessage() {})).mayHaveBeenSent()).isFalse();
    assertThat(deferred).isEmpty();
  }

  @Test
  void should_fail_as_possibly_sent_when_the_handler_fails_and_keep_the_connection()
      throws Exception {
    // GIVEN
    open(
        (from, message) -> {
          if (((FetchConfig) message).newerThan() == 0) {
            throw new IllegalStateException("planned");
          }
          long number = ((FetchConfig) message).newerThan();
          return number == 1
              ? CompletableFuture.failedStage(new IllegalStateException("planned"))
              : CompletableFuture.completedStage(number == 2 ? null : new GangReserved(3));
        });

    // WHEN / THEN
    for (int i = 0; i < 3; i++) {
      assertThat(error(wire.call(new FetchConfig(i))).mayHaveBeenSent()).isTrue();
    }
    assertThat(answer(wire.call(new FetchConfig(3)))).isEqualTo(new GangReserved(3));
    assertThat(wire.proxy.connections()).isEqualTo(1);
  }

  @Test
  void should_not_complete_on_an_event_loop() throws Exception {
    // GIVEN
    open((from, message) -> CompletableFuture.completedStage(new GangReserved(1)));
    AtomicReference<String> thread = new AtomicReference<>();

    // WHEN
    answer(
        wire.call(new FetchConfig(1))
            .thenApply(
                answer -> {
                  thread.set(Thread.currentThread().getName());
                  return answer;
                }));

    // THEN
    assertThat(thread.get()).doesNotStartWith("wire-loop");
  }

  @Test
  void should_end_calls_in_flight_when_the_server_closes() throws Exception {
    // GIVEN
    open((from, message) -> deferAnswer(message));
    final CompletionStage<PeerMessage> call = wire.call(new FetchConfig(1));
    await(() -> deferred.size() == 1);

    // WHEN
    final CompletableFuture<Void> closed = CompletableFuture.runAsync(wire.server::close);
    PeerException refused = error(eventuallyRefused());
    deferred.get(0).complete(new GangReserved(7));

    // THEN
    assertThat(answer(call)).isEqualTo(new GangReserved(7));
    assertThat(refused.mayHaveBeenSent()).isFalse();
    closed.get();
  }

  /** Calls until the server has started to close; calls before that are answered. */
  private CompletionStage<PeerMessage> eventuallyRefused() {
    AtomicReference<CompletionStage<PeerMessage>> latest = new AtomicReference<>();
    await(
        () -> {
          int before = deferred.size();
          CompletionStage<PeerMessage> call = wire.call(new FetchConfig(2));
          latest.set(call);
          await(() -> deferred.size() > before || call.toCompletableFuture().isDone());
          deferred.stream().skip(before).forEach(answer -> answer.complete(new GangReserved(0)));
          return call.toCompletableFuture().isCompletedExceptionally();
        });
    return latest.get();
  }

  @Test
  void should_fail_as_not_sent_when_nobody_listens_or_the_address_is_unknown() throws Exception {
    // GIVEN
    open((from, message) -> deferAnswer(message));
    wire.proxy.close();
    wire.server.close();
    PeerClient unroutable = wire.clientPeers.connect(vm -> Optional.empty());

    // WHEN / THEN
    for (int i = 0; i < 5; i++) {
      assertThat(error(wire.call(new FetchConfig(i))).mayHaveBeenSent()).isFalse();
      assertThat(
              error(unroutable.call(WireFixture.B, new FetchConfig(i), WireFixture.LONG_TIMEOUT))
                  .mayHaveBeenSent())
          .isFalse();
    }
  }

  @Test
  void should_finish_calls_in_flight_and_then_refuse_when_the_client_closes() throws Exception {
    // GIVEN
    open((from, message) -> deferAnswer(message));
    final CompletionStage<PeerMessage> call = wire.call(new FetchConfig(1));
    await(() -> deferred.size() == 1);

    // WHEN
    CompletableFuture<Void> closed = CompletableFuture.runAsync(wire.client::close);
    deferred.get(0).complete(new GangReserved(7));
    closed.get();

    // THEN
    assertThat(answer(call)).isEqualTo(new GangReserved(7));
    assertThat(error(wire.call(new FetchConfig(2))).mayHaveBeenSent()).isFalse();
  }
}

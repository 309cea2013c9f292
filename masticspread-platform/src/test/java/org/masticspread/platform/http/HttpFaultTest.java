package org.masticspread.platform.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.masticspread.platform.contract.PlatformFixture.ENDPOINT;
import static org.masticspread.platform.contract.PlatformFixture.WORKER;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.platform.EndpointReply;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.platform.WorkerException;
import org.masticspread.model.platform.WorkerException.Reason;
import org.masticspread.model.work.Payload;
import org.masticspread.platform.contract.FaultRules;
import org.masticspread.platform.contract.PlatformFixture;
import org.masticspread.platform.standin.FaultKind;

/** Tests faults between the adapters and the server. */
class HttpFaultTest {
  private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration LONG_TIMEOUT = Duration.ofMinutes(1);
  private static final HttpSettings SETTINGS =
      new HttpSettings(LONG_TIMEOUT, Duration.ofSeconds(3), 1 << 20);
  private static final Transaction WRITE =
      new Transaction(List.of(), List.of(Mutation.put("a", Payload.ofText("x"))));

  private final PlatformFixture platform = PlatformFixture.overHttp(SETTINGS);

  @AfterEach
  void close() {
    platform.close();
  }

  private CompletionStage<EndpointReply> call(String id, String body, Duration timeout) {
    return platform.endpoints.call(platform.endpoint(4), platform.request(id, body), timeout);
  }

  @ParameterizedTest
  @CsvSource({
    "DOWN, 0",
    "ERROR_BEFORE_EFFECT, 0",
    "SILENT, 0",
    "ANSWER_LOST, 1",
    "CUT, 1",
    "FOREIGN, 1"
  })
  void should_report_an_unknown_effect_without_a_complete_answer(FaultKind kind, long version)
      throws Exception {
    // GIVEN
    FaultRules.activate(platform.faults.on("http/table/commit").times(1), kind);
    FaultRules.activate(platform.faults.on("http/workers/w1/start").times(1), kind);
    FaultRules.activate(platform.faults.on("http/endpoints/e1/run").times(1), kind);

    // WHEN / THEN
    assertThatThrownBy(() -> platform.table.commit(WRITE))
        .isInstanceOfSatisfying(
            StoreException.class,
            e -> assertThat(e.effect()).isEqualTo(StoreException.Effect.UNKNOWN));
    assertThatThrownBy(() -> platform.workers.start(WORKER, 1, platform.start(0, 1, "service")))
        .isInstanceOfSatisfying(
            WorkerException.class, e -> assertThat(e.reason()).isEqualTo(Reason.NO_ANSWER));
    EndpointReply reply =
        call("r1", "x", kind == FaultKind.SILENT ? SHORT_TIMEOUT : LONG_TIMEOUT)
            .toCompletableFuture()
            .get(60, TimeUnit.SECONDS);
    assertThat(reply.outcome()).isEqualTo(EndpointOutcome.NO_ANSWER);
    assertThat(platform.memoryTable.read("a").map(Row::version).orElse(0L)).isEqualTo(version);
    assertThat(platform.fleet.runs()).hasSize((int) version);
    assertThat(platform.executors.runs()).hasSize((int) version);
  }

  @Test
  void should_apply_reordered_and_duplicate_calls_after_the_next_call() throws Exception {
    // GIVEN
    platform.faults.on("http/table/commit").times(1).reordered();
    platform.faults.on("http/table/commit").skip(1).times(1).duplicate();

    // WHEN / THEN
    assertThatThrownBy(() -> platform.table.commit(WRITE)).isInstanceOf(StoreException.class);
    assertThat(platform.memoryTable.read("a")).isEmpty();
    platform.table.commit(WRITE);
    PlatformFixture.waitUntil(() -> platform.memoryTable.commits() == 3);
  }

  @Test
  void should_report_no_effect_without_a_connection() throws Exception {
    // GIVEN
    platform.server.stopListening();

    // WHEN / THEN
    assertThatThrownBy(() -> platform.table.commit(WRITE))
        .isInstanceOfSatisfying(
            StoreException.class,
            e -> assertThat(e.effect()).isEqualTo(StoreException.Effect.NONE));
    assertThatThrownBy(() -> platform.workers.seal(WORKER, 1))
        .isInstanceOfSatisfying(
            WorkerException.class, e -> assertThat(e.reason()).isEqualTo(Reason.UNREACHABLE));
    EndpointReply reply =
        call("r1", "x", LONG_TIMEOUT).toCompletableFuture().get(60, TimeUnit.SECONDS);
    assertThat(reply.outcome()).isEqualTo(EndpointOutcome.CONNECT_FAILED);
  }

  @Test
  void should_close_idle_connections_after_a_timeout_and_open_new_ones() throws Exception {
    // GIVEN
    List<CompletionStage<EndpointReply>> both =
        IntStream.range(0, 2).mapToObj(i -> call("r" + i, "sleep:PT1S", LONG_TIMEOUT)).toList();
    PlatformFixture.waitUntil(() -> platform.executors.running(ENDPOINT) == 2);
    both.forEach(platform::await);
    final int idle = platform.server.openConnections();
    platform.faults.on("http/endpoints").times(1).silent(Duration.ZERO);

    // WHEN
    EndpointReply silent =
        call("r3", "x", SHORT_TIMEOUT).toCompletableFuture().get(60, TimeUnit.SECONDS);
    PlatformFixture.waitUntil(() -> platform.server.openConnections() == 0);
    EndpointReply next =
        call("r4", "x", LONG_TIMEOUT).toCompletableFuture().get(60, TimeUnit.SECONDS);

    // THEN
    assertThat(idle).isEqualTo(2);
    assertThat(silent.outcome()).isEqualTo(EndpointOutcome.NO_ANSWER);
    assertThat(next.outcome()).isEqualTo(EndpointOutcome.ANSWERED);
  }

  @Test
  void should_replace_all_connections_after_one_went_silent() throws Exception {
    // GIVEN
    platform.table.commit(WRITE);
    platform.workers.seal(WORKER, 1);
    call("r1", "x", LONG_TIMEOUT).toCompletableFuture().get(60, TimeUnit.SECONDS);
    platform.server.silenceOpenConnections();

    // WHEN / THEN
    assertThatThrownBy(() -> platform.table.commit(WRITE)).isInstanceOf(StoreException.class);
    assertThatThrownBy(() -> platform.workers.seal(WORKER, 1)).isInstanceOf(WorkerException.class);
    EndpointReply silent =
        call("r2", "x", SHORT_TIMEOUT).toCompletableFuture().get(60, TimeUnit.SECONDS);
    assertThat(silent.outcome()).isEqualTo(EndpointOutcome.NO_ANSWER);
    platform.table.commit(WRITE);
    platform.workers.seal(WORKER, 1);
    EndpointReply next =
        call("r3", "x", LONG_TIMEOUT).toCompletableFuture().get(60, TimeUnit.SECONDS);
    assertThat(next.outcome()).isEqualTo(EndpointOutcome.ANSWERED);
    assertThat(platform.executors.runs()).hasSize(2);
  }

  @Test
  void should_open_no_more_connections_than_allowed() throws Exception {
    // GIVEN
    platform.faults.on("http/endpoints").silent(Duration.ZERO);
    IntStream.range(0, 4).forEach(i -> call("r" + i, "x", LONG_TIMEOUT));

    // WHEN
    EndpointReply fifth =
        call("r5", "x", LONG_TIMEOUT).toCompletableFuture().get(60, TimeUnit.SECONDS);

    // THEN
    assertThat(fifth.outcome()).isEqualTo(EndpointOutcome.CONNECT_FAILED);
    PlatformFixture.waitUntil(() -> platform.server.openConnections() == 4);
  }
}

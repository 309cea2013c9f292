package org.masticspread.platform.contract;

import static org.assertj.core.api.Assertions.assertThat;
import static org.masticspread.platform.contract.PlatformFixture.ENDPOINT;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.platform.EndpointReply;
import org.masticspread.platform.standin.FaultKind;

/** Contract of every endpoint adapter. */
abstract class EndpointContract extends PlatformContract {
  private static final Duration TIMEOUT = Duration.ofMinutes(1);
  private static final Duration SHORT_TIMEOUT = Duration.ofSeconds(3);

  private CompletionStage<EndpointReply> call(String id, String body, Duration timeout) {
    return platform.endpoints.call(platform.endpoint(4), platform.request(id, body), timeout);
  }

  @ParameterizedTest
  @CsvSource({
    "sleep:PT2S, ANSWERED, t/r1 sleep:PT2S",
    "hello, ANSWERED, t/r1 hello",
    "error 7, ERROR, t/r1 error 7",
    "'', ANSWERED, 't/r1 '"
  })
  void should_return_the_complete_answer(String body, EndpointOutcome outcome, String answer) {
    // WHEN
    EndpointReply reply = platform.await(call("r1", body, TIMEOUT));

    // THEN
    assertThat(reply.outcome()).isEqualTo(outcome);
    assertThat(reply.body().asText()).isEqualTo(answer);
  }

  @Test
  void should_match_answers_that_arrive_out_of_order() {
    // WHEN
    CompletionStage<EndpointReply> slow = call("r1", "sleep:PT100S", Duration.ofDays(1));
    CompletionStage<EndpointReply> fast = call("r2", "sleep:PT1S", Duration.ofDays(1));

    // THEN
    assertThat(platform.await(fast).body().asText()).startsWith("t/r2 ");
    assertThat(platform.await(slow).body().asText()).startsWith("t/r1 ");
  }

  @Test
  void should_answer_busy_without_running_when_all_slots_are_used() {
    // GIVEN
    final List<CompletionStage<EndpointReply>> taken =
        IntStream.range(0, 2).mapToObj(i -> call("r" + i, "sleep:PT5S", TIMEOUT)).toList();
    PlatformFixture.waitUntil(() -> platform.executors.running(ENDPOINT) == 2);

    // WHEN
    CompletionStage<EndpointReply> third = call("r3", "sleep:PT5S", TIMEOUT);
    PlatformFixture.waitUntil(() -> third.toCompletableFuture().isDone());

    // THEN
    assertThat(platform.await(third).outcome()).isEqualTo(EndpointOutcome.BUSY);
    assertThat(taken).allMatch(call -> platform.await(call).outcome() == EndpointOutcome.ANSWERED);
    assertThat(platform.executors.runs()).hasSize(2);
    assertThat(platform.executors.running(ENDPOINT)).isZero();
  }

  @ParameterizedTest
  @CsvSource({
    "DOWN, false, 0",
    "ERROR_BEFORE_EFFECT, , 0",
    "SILENT, , 0",
    "ANSWER_LOST, , 1",
    "CUT, , 1",
    "FOREIGN, , 1",
    "REORDERED, true, 1",
    "DUPLICATE, true, 2",
    "SLOW, true, 1"
  })
  void should_report_correctly_whether_a_request_ran(FaultKind kind, Boolean ran, int runs) {
    // GIVEN
    FaultRules.activate(platform.faults.on("endpoint.call/e1").times(1), kind);
    boolean answers = Boolean.TRUE.equals(ran);

    // WHEN
    EndpointReply reply = platform.await(call("r1", "x", answers ? TIMEOUT : SHORT_TIMEOUT));

    // THEN
    assertThat(platform.executors.runs()).hasSize(runs);
    switch (reply.outcome()) {
      case ANSWERED -> assertThat(ran).isTrue();
      case BUSY, CONNECT_FAILED -> assertThat(ran).isFalse();
      default -> assertThat(ran).isNull();
    }
  }

  @Test
  void should_fail_to_connect_beyond_the_connection_limit() {
    // GIVEN
    platform.faults.on("endpoint.call").times(4).silent(Duration.ZERO);
    List<CompletionStage<EndpointReply>> silent =
        IntStream.range(0, 4).mapToObj(i -> call("r" + i, "x", Duration.ofDays(1))).toList();

    // WHEN
    EndpointReply reply = platform.await(call("r5", "x", TIMEOUT));

    // THEN
    assertThat(reply.outcome()).isEqualTo(EndpointOutcome.CONNECT_FAILED);
    assertThat(silent).noneMatch(stage -> stage.toCompletableFuture().isDone());
  }
}

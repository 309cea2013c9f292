package org.masticspread.node.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.peer.Digest;
import org.masticspread.model.peer.HomeDigest;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerPort;
import org.masticspread.model.peer.RequestAnswered;
import org.masticspread.model.platform.Member;
import org.masticspread.model.platform.MembershipView;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.model.work.Urgency;
import org.masticspread.node.explain.DecisionLog;
import org.masticspread.node.member.Members;
import org.masticspread.node.member.PeerCalls;

class HomeCallsTest {
  private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
  private static final VmId SELF = VmId.of("vm-0");
  private static final RequestKey KEY =
      new RequestKey(TeamId.of("desk"), RequestId.of("request-1"));

  private static Members members() {
    Members members = new Members(SELF, () -> 0, Duration.ofSeconds(2));
    List<VmId> vms = Stream.of("vm-1", "vm-2", "vm-3", "vm-4").map(VmId::of).toList();
    members.update(
        new MembershipView(
            vms.stream().map(vm -> new Member(vm, DataCentreId.of("dc"), "a:1", false)).toList(),
            List.of(),
            List.of(),
            List.of()));
    HomeDigest home = new HomeDigest(8, 0, 0, 0);
    vms.forEach(
        vm ->
            members.update(
                new Digest(
                    new VmIncarnation(vm, 1),
                    1,
                    false,
                    true,
                    home,
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of())));
    return members;
  }

  private static PeerPort scriptedPeers(Deque<String> script) {
    return (to, message, timeout) ->
        switch (script.removeFirst()) {
          case "lost" -> CompletableFuture.failedFuture(new PeerException(true, "lost", null));
          case "unsent" -> CompletableFuture.failedFuture(new PeerException(false, "none", null));
          case "foreign" -> {
            RequestKey other = new RequestKey(TeamId.of("desk"), RequestId.of("other"));
            yield CompletableFuture.completedFuture(
                new RequestAnswered(Answer.ok(other, Payload.EMPTY)));
          }
          case "ok" ->
              CompletableFuture.completedFuture(
                  new RequestAnswered(Answer.ok(KEY, Payload.ofText("whole"))));
          case "busy" ->
              CompletableFuture.completedFuture(
                  new RequestAnswered(Answer.of(KEY, ResultCode.OVERLOADED, "full")));
          default -> throw new IllegalStateException("unexpected script entry");
        };
  }

  @Nested
  class Run {
    @ParameterizedTest
    @CsvSource({
      "true,  ok,                  OK,              1",
      "true,  unsent ok,           OK,              2",
      "true,  busy ok,             OK,              2",
      "true,  lost ok,             OK,              2",
      "true,  foreign ok,          OK,              2",
      "true,  busy busy busy,      OVERLOADED,      3",
      "true,  unsent unsent unsent, CONNECT_FAILED, 3",
      "true,  lost busy busy,      OUTCOME_UNKNOWN, 3",
      "true,  lost unsent unsent,  OUTCOME_UNKNOWN, 3",
      "false, unsent ok,           OK,              2",
      "false, busy ok,             OK,              2",
      "false, lost,                OUTCOME_UNKNOWN, 1",
      "false, foreign,             OUTCOME_UNKNOWN, 1",
      "false, busy lost,           OUTCOME_UNKNOWN, 2",
    })
    void should_retry_only_if_not_run_or_idempotent(
        boolean idempotent, String script, ResultCode code, int calls) {
      // GIVEN
      Deque<String> answers = new ArrayDeque<>(List.of(script.split(" ")));
      int scripted = answers.size();
      PeerCalls peers =
          new PeerCalls(
              SELF, scriptedPeers(answers), (from, m) -> CompletableFuture.failedFuture(null));
      HomeCalls homes =
          new HomeCalls(
              members(),
              peers,
              () -> NOW,
              new DecisionLog(SELF, () -> NOW),
              new RetryBudget(0.1, 20),
              bound -> 0);
      RequestSpec request =
          new RequestSpec(
              KEY,
              WorkClassId.of("orders"),
              Urgency.URGENT,
              idempotent,
              NOW.plusSeconds(2),
              Payload.EMPTY);
      // WHEN
      Answer answer = homes.run(request).toCompletableFuture().join();
      // THEN
      assertThat(answer.code()).isEqualTo(code);
      assertThat(scripted - answers.size()).isEqualTo(calls);
    }
  }
}

package org.masticspread.cell.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.VirtualTime;
import org.masticspread.model.cell.AdviceRule;
import org.masticspread.model.peer.AdviceReply;

/** The order of requests while more are submitted than the advisor can answer. */
class PriorityAdviceDispatcherTest {
  private static final Duration CALL = Duration.ofMillis(700);
  private static final AdviceRule RULE =
      new AdviceRule(CALL, Duration.ZERO, Duration.ofMillis(1500));

  private final VirtualTime time = new VirtualTime();
  private final Map<String, Long> answeredMillis = new HashMap<>();
  private final PriorityAdviceDispatcher dispatcher =
      new PriorityAdviceDispatcher(
          (vm, step, ids, timeout) ->
              Single.create(
                  emitter ->
                      time.after(
                          CALL, () -> emitter.onSuccess(new AdviceReply(true, List.of(), 1500)))),
          () -> List.of("vm-1", "vm-2"),
          time);

  private void submit(String step, long latestStartMillis, boolean holdsReservation) {
    long asked = time.millis();
    var unused =
        dispatcher
            .submit(
                new AdviceDispatcher.Request(
                    step, List.of("w"), RULE, 1, latestStartMillis, holdsReservation, () -> true))
            .subscribe(reply -> answeredMillis.put(step, time.millis() - asked));
  }

  /** Submits slightly more late requests than two VMs can send. */
  private void submitLateRequests(int seconds) {
    long late = time.millis() - 60_000;
    for (int i = 0; i < seconds * 4; i++) {
      submit("late-" + time.millis(), late, false);
      time.pass(Duration.ofMillis(250));
    }
  }

  @Nested
  class Overload {
    @Test
    void should_not_starve_a_punctual_request_behind_late_ones() {
      // GIVEN
      submitLateRequests(5);

      // WHEN
      submit("punctual", time.millis() + 20_000, false);
      submitLateRequests(8);

      // THEN
      assertThat(answeredMillis).containsKey("punctual");
    }

    @Test
    void should_send_requests_of_gangs_with_a_reservation_first() {
      // GIVEN
      submitLateRequests(10);

      // WHEN
      submit("holds-room", time.millis() + 20_000, true);
      submitLateRequests(3);

      // THEN
      assertThat(answeredMillis.get("holds-room")).isLessThanOrEqualTo(2 * CALL.toMillis() + 20);
    }
  }
}

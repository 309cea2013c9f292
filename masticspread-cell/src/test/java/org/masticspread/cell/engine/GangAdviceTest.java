package org.masticspread.cell.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.CellFixture;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.cell.AdviceRule;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.peer.AdviceReply;
import org.masticspread.model.resource.ResourceVector;

/** What gangs ask of the advisor, and when. Of each step only some workers are approved. */
class GangAdviceTest {
  private static final Duration VALIDITY = Duration.ofSeconds(2);

  private final CellFixture fixture =
      new CellFixture(
          Jobs.config(
              Jobs.queue("checks", 0, Optional.empty()),
              Jobs.queue(
                  "layouts",
                  1,
                  Optional.of(
                      new AdviceRule(Duration.ofMillis(10), Duration.ofMillis(1), VALIDITY)))),
          time ->
              (vm, step, ids, timeout) ->
                  Single.create(
                      emitter ->
                          time.after(
                              Duration.ofMillis(10), () -> emitter.onSuccess(answer(step, ids)))),
          List.of("vm-1", "vm-2"));

  /** The step "big" may use the workers of rack r1, the others those of rack r2. */
  private AdviceReply answer(String step, List<String> ids) {
    String prefix = step.startsWith("big") ? "w" : "x";
    List<AdviceReply.Ticket> tickets =
        ids.stream()
            .filter(id -> id.startsWith(prefix))
            .map(id -> new AdviceReply.Ticket(id, "t"))
            .toList();
    return new AdviceReply(true, tickets, (int) VALIDITY.toMillis());
  }

  @BeforeEach
  void start() {
    for (int i = 1; i <= 8; i++) {
      fixture.workers.add("w" + i, "r1", 4000);
    }
    for (int i = 1; i <= 4; i++) {
      fixture.workers.add("x" + i, "r2", 4000);
    }
    fixture.lead();
    pass(50);
  }

  @AfterEach
  void should_never_break_a_promise() {
    assertThat(fixture.workers.violations()).isEmpty();
  }

  private void pass(long millis) {
    fixture.time.pass(Duration.ofMillis(millis));
  }

  private void occupy(String id, int tasks, String rack, Duration runs) {
    fixture.workers.describe(id, new ResourceVector(4000, 1024, 0), runs);
    fixture.accept(Jobs.job(id, Jobs.labelled(Jobs.step(tasks, 4000, runs, false), rack)));
  }

  private void gang(String id, int tasks, Duration runs) {
    StepSpec step = Jobs.step(tasks, 4000, runs, true);
    fixture.workers.describe(id, new ResourceVector(4000, 1024, 0), runs);
    fixture.workers.describeGang(id + ".0.0", tasks);
    fixture.accept(Jobs.job(id, "layouts", step));
  }

  @Nested
  class Log {
    @Test
    void should_tell_why_a_gang_has_not_started() {
      // GIVEN
      occupy("long", 3, "r2", Duration.ofSeconds(5));

      // WHEN
      gang("small", 2, Duration.ofSeconds(1));
      pass(1000);

      // THEN
      assertThat(fixture.events)
          .anySatisfy(
              line ->
                  assertThat(line)
                      .startsWith("gang-holds small.0.0")
                      .contains("reason, room_later", "tasks, 2", "placesFree, 1"));
      assertThat(fixture.metrics.counter("gang.holds.room_later").getCount()).isPositive();
    }
  }

  @Nested
  class LapsedTickets {
    /**
     * Answers the end of the day trouble-2 of the users' large site and scale-1 of Greffe grown:
     * gangs stood still for 10 s and more though their workers were free.
     */
    @Test
    void should_start_where_there_is_room_whatever_others_keep_idle() {
      // GIVEN a gang that is late and waits for workers, and one that keeps many others idle
      occupy("short", 4, "r2", Duration.ofSeconds(7));
      gang("small", 2, Duration.ofSeconds(1));
      occupy("long", 3, "r1", Duration.ofSeconds(25));
      gang("big", 8, Duration.ofSeconds(20));

      // WHEN its room becomes free after its tickets have lapsed
      pass(7000 + 3000);

      // THEN
      assertThat(fixture.startsOf("small.0.0.0")).isEqualTo(1);
      assertThat(fixture.startsOf("big.0.0.0")).isZero();
    }
  }
}

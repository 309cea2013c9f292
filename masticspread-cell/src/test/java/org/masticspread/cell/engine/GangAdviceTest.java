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

/** Advice for gangs whose steps are approved on some workers only. */
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

  /** Approves the workers of rack r1 for the step "big", and those of rack r2 for the others. */
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
    advance(50);
  }

  @AfterEach
  void should_never_violate_an_invariant() {
    assertThat(fixture.workers.violations()).isEmpty();
  }

  private void advance(long millis) {
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
    void should_log_why_a_gang_has_not_started() {
      // GIVEN
      occupy("long", 3, "r2", Duration.ofSeconds(5));

      // WHEN
      gang("small", 2, Duration.ofSeconds(1));
      advance(1000);

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
  class ExpiredTickets {
    /**
     * Guards against gangs that do not start for 10 s or more although their workers are free. It
     * happens when their tickets have expired and other gangs already keep the permitted share of
     * the capacity idle (seen on the days trouble-2 of the large site and scale-1 of Greffe grown).
     */
    @Test
    void should_start_on_free_capacity_whatever_other_gangs_keep_idle() {
      // GIVEN a late gang that waits for workers, and a gang that keeps many other workers idle
      occupy("short", 4, "r2", Duration.ofSeconds(7));
      gang("small", 2, Duration.ofSeconds(1));
      occupy("long", 3, "r1", Duration.ofSeconds(25));
      gang("big", 8, Duration.ofSeconds(20));

      // WHEN its workers become free after its tickets have expired
      advance(7000 + 3000);

      // THEN
      assertThat(fixture.startsOf("small.0.0.0")).isEqualTo(1);
      assertThat(fixture.startsOf("big.0.0.0")).isZero();
    }
  }
}

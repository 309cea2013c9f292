package org.masticspread.cell.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.CellFixture;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.cell.AdviceRule;
import org.masticspread.model.peer.AdviceReply;
import org.masticspread.model.resource.ResourceVector;

/** Gangs that can start now, but would end earlier on workers that are still busy. */
class GangWaitTest {
  private static final int MILLICORES = 4000;

  private static final Duration CALL = Duration.ofMillis(700);

  private final CellFixture fixture =
      new CellFixture(
          Jobs.config(
              Jobs.queue("checks", 0, Optional.empty()),
              Jobs.queue("layouts", 1, Optional.of(new AdviceRule(CALL, Duration.ZERO, CALL)))),
          time ->
              (vm, step, ids, timeout) ->
                  Single.create(
                      emitter -> time.after(CALL, () -> emitter.onSuccess(approveAll(ids)))),
          List.of("vm-1", "vm-2"));

  private static AdviceReply approveAll(List<String> ids) {
    List<AdviceReply.Ticket> tickets =
        ids.stream().map(id -> new AdviceReply.Ticket(id, "t")).toList();
    return new AdviceReply(true, tickets, (int) CALL.toMillis());
  }

  private void advance(long millis) {
    fixture.time.pass(Duration.ofMillis(millis));
  }

  private void occupyWorkerIn(String rack, Duration estimate, Duration runs) {
    String id = "other-" + rack;
    fixture.workers.describe(id, new ResourceVector(MILLICORES, 1024, 0), runs);
    fixture.accept(Jobs.job(id, Jobs.labelled(Jobs.step(1, MILLICORES, estimate, false), rack)));
  }

  private void acceptSameRackGang(String queue, int tasks, Duration runs) {
    fixture.workers.describe("gang", new ResourceVector(MILLICORES, 1024, 0), runs);
    fixture.workers.describeGang("gang.0.0", tasks);
    fixture.accept(
        Jobs.job("gang", queue, Jobs.sameRack(Jobs.step(tasks, MILLICORES, runs, true))));
  }

  @AfterEach
  void should_never_violate_an_invariant() {
    assertThat(fixture.workers.violations()).isEmpty();
  }

  /** Adds four racks with a busy and a free worker each; the first one is busy for 8 s only. */
  private void addFourRacksWithOneFreeWorkerEach() {
    for (int rack = 1; rack <= 4; rack++) {
      fixture.workers.add("w" + rack, "r" + rack, MILLICORES);
      fixture.workers.add("x" + rack, "r" + rack, MILLICORES);
    }
    fixture.lead();
    advance(50);
    for (int rack = 1; rack <= 4; rack++) {
      Duration runs = Duration.ofSeconds(rack == 1 ? 8 : 60);
      occupyWorkerIn("r" + rack, runs, runs);
    }
  }

  @Nested
  class FasterPlan {
    @Test
    void should_start_now_rather_than_wait_for_a_rack_that_is_free_later() {
      // GIVEN
      addFourRacksWithOneFreeWorkerEach();

      // WHEN
      acceptSameRackGang("checks", 2, Duration.ofSeconds(20));
      advance(3000);

      // THEN
      assertThat(fixture.startsOf("gang.0.0.0")).isEqualTo(1);
    }

    @Test
    void should_start_when_its_tickets_arrive_rather_than_wait_for_a_busy_worker() {
      // GIVEN a rack with capacity for one task now and, by a wrong estimate, soon for both
      fixture.workers.add("large", "r1", 2 * MILLICORES);
      for (int rack = 2; rack <= 9; rack++) {
        fixture.workers.add("w" + rack, "r" + rack, MILLICORES);
      }
      fixture.lead();
      advance(50);
      occupyWorkerIn("r1", Duration.ofSeconds(1), Duration.ofSeconds(60));

      // WHEN
      acceptSameRackGang("layouts", 2, Duration.ofSeconds(20));
      advance(3000 + CALL.toMillis());

      // THEN
      assertThat(fixture.startsOf("gang.0.0.0")).isEqualTo(1);
    }
  }
}

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
import org.masticspread.cell.testing.VirtualTime;
import org.masticspread.model.cell.AdviceRule;
import org.masticspread.model.peer.AdviceReply;
import org.masticspread.model.resource.ResourceVector;

/** Gangs whose calls to the advisor take about half of the validity of its tickets. */
class GangTicketTest {
  private static final AdviceRule RULE =
      new AdviceRule(Duration.ofMillis(700), Duration.ofMillis(10), Duration.ofMillis(1500));

  private static final int MILLICORES = 4000;

  private final CellFixture fixture =
      new CellFixture(
          Jobs.config(
              Jobs.queue("checks", 0, Optional.empty()),
              Jobs.queue("layouts", 1, Optional.of(RULE))),
          GangTicketTest::serialAdvisor,
          List.of("vm-1"));

  private static AdviceDispatcher.AdvisorClient serialAdvisor(VirtualTime time) {
    long[] freeAt = {0};
    return (vm, step, ids, timeout) -> {
      freeAt[0] = Math.max(time.millis(), freeAt[0]) + RULE.callTime(ids.size()).toMillis();
      List<AdviceReply.Ticket> tickets =
          ids.stream().map(id -> new AdviceReply.Ticket(id, "t")).toList();
      AdviceReply reply = new AdviceReply(true, tickets, (int) RULE.validity().toMillis());
      Duration wait = Duration.ofMillis(freeAt[0] - time.millis());
      return Single.create(emitter -> time.after(wait, () -> emitter.onSuccess(reply)));
    };
  }

  private void lead(int workers) {
    for (int i = 1; i <= workers; i++) {
      fixture.workers.add("w" + i, "r" + i, MILLICORES);
    }
    fixture.lead();
    advance(50);
  }

  private void advance(long millis) {
    fixture.time.pass(Duration.ofMillis(millis));
  }

  private void occupy(String worker, Duration runs) {
    occupy(worker, runs, runs);
  }

  private void occupy(String worker, Duration estimate, Duration runs) {
    String id = "busy-" + worker;
    fixture.workers.describe(id, new ResourceVector(MILLICORES, 1024, 0), runs);
    fixture.accept(
        Jobs.job(id, Jobs.labelled(Jobs.step(1, MILLICORES, estimate, false), "r" + worker)));
  }

  private void gang(String id, int tasks) {
    Duration runs = Duration.ofSeconds(10);
    fixture.workers.describe(id, new ResourceVector(MILLICORES, 1024, 0), runs);
    fixture.workers.describeGang(id + ".0.0", tasks);
    fixture.accept(Jobs.job(id, "layouts", Jobs.step(tasks, MILLICORES, runs, true)));
  }

  @AfterEach
  void should_never_violate_an_invariant() {
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @Nested
  class TicketExpiry {
    @Test
    void should_start_a_gang_on_more_workers_than_an_approval_call_names() {
      // GIVEN workers that become free after the first tickets have expired
      lead(70);
      for (int i = 1; i <= 70; i++) {
        occupy("" + i, Duration.ofSeconds(8));
      }

      // WHEN
      gang("wide", 70);
      advance(8000 + 3000);

      // THEN
      assertThat(fixture.startsOf("wide.0.0.0")).isEqualTo(1);
    }

    @Test
    void should_request_all_tickets_of_a_plan_in_one_call() {
      // GIVEN a gang whose first tickets expire before its last worker is free, and others later
      lead(40);
      occupy("1", Duration.ofMillis(2700));
      gang("mixed", 40);
      advance(1900);
      fixture.events.clear();

      // WHEN
      advance(1500);

      // THEN
      assertThat(fixture.events)
          .filteredOn(line -> line.startsWith("step-advice mixed.0.0"))
          .isNotEmpty()
          .allMatch(line -> line.contains("asked, 40"));
      assertThat(fixture.startsOf("mixed.0.0.0")).isEqualTo(1);
    }
  }

  @Nested
  class BusyPlannedWorkers {
    @Test
    void should_ask_about_further_workers_when_the_planned_ones_stay_busy() {
      // GIVEN workers that are busy for longer than estimated, and two that are free earlier
      lead(14);
      for (int i = 1; i <= 12; i++) {
        occupy("" + i, Duration.ofSeconds(1), Duration.ofSeconds(60));
      }
      occupy("13", Duration.ofSeconds(30), Duration.ofSeconds(3));
      occupy("14", Duration.ofSeconds(30), Duration.ofSeconds(3));

      // WHEN
      gang("late", 2);
      advance(3000 + 3000);

      // THEN
      assertThat(fixture.startsOf("late.0.0.0")).isEqualTo(1);
    }
  }
}

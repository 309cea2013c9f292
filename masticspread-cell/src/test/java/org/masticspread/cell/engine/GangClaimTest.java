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
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.peer.AdviceReply;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.resource.ResourceVector;

/** The reservation of a gang between its request for tickets and the answer. */
class GangClaimTest {
  private static final int MILLICORES = 4000;
  private static final Duration CALL = Duration.ofMillis(700);
  private static final Duration VALIDITY = Duration.ofMillis(1500);

  private final CellFixture fixture =
      new CellFixture(
          Jobs.config(
              Jobs.queue("checks", 0, Optional.empty()),
              Jobs.queue("layouts", 1, Optional.of(new AdviceRule(CALL, Duration.ZERO, VALIDITY))),
              Jobs.queue("bulk", 2, Optional.empty())),
          time ->
              (vm, step, ids, timeout) ->
                  Single.create(emitter -> time.after(CALL, () -> emitter.onSuccess(approve(ids)))),
          List.of("vm-1", "vm-2"));

  /** Whether the next call that names only workers of rack "few" gets no answer. */
  private boolean losesNextAnswer;

  private AdviceReply answer(List<String> ids) {
    boolean lost = losesNextAnswer && ids.stream().allMatch(id -> id.startsWith("few"));
    losesNextAnswer &= !lost;
    return lost ? AdviceReply.NONE : approve(ids);
  }

  private static AdviceReply approve(List<String> ids) {
    List<AdviceReply.Ticket> tickets =
        ids.stream()
            .filter(id -> !id.startsWith("new"))
            .map(id -> new AdviceReply.Ticket(id, "t"))
            .toList();
    return new AdviceReply(true, tickets, (int) VALIDITY.toMillis());
  }

  private void workers(String rack, int count) {
    for (int i = 1; i <= count; i++) {
      fixture.workers.add(rack + i, rack, MILLICORES);
    }
  }

  private void job(String id, String queue, int tasks, boolean gang, String rack, Duration runs) {
    StepSpec step = Jobs.labelled(Jobs.step(tasks, MILLICORES, runs, gang), rack);
    fixture.workers.describe(id, new ResourceVector(MILLICORES, 1024, 0), runs);
    if (gang) {
      fixture.workers.describeGang(id + ".0.0", tasks);
    }
    fixture.accept(Jobs.job(id, queue, step));
  }

  private void advance(long millis) {
    fixture.time.pass(Duration.ofMillis(millis));
  }

  /**
   * Lets a gang of 6 tasks request tickets for 8 free workers, while others keep much capacity
   * idle.
   */
  private void startTicketRequest() {
    workers("idle", 12);
    workers("few", 8);
    fixture.lead();
    advance(50);
    job("blocks-idle", "checks", 1, false, "idle", Duration.ofSeconds(60));
    job("blocks-few", "checks", 8, false, "few", Duration.ofSeconds(20));
    job("wide", "layouts", 12, true, "idle", Duration.ofSeconds(20));
    job("late", "layouts", 6, true, "few", Duration.ofSeconds(30));
    advance(10_000);
    fixture.call(CellCall.Action.CANCEL, "blocks-few", null);
    advance(100);
  }

  private void submitBulkJob() {
    job("bulk", "bulk", 8, false, "few", Duration.ofSeconds(30));
  }

  @AfterEach
  void should_never_violate_an_invariant() {
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @Nested
  class CompetingJobs {
    @Test
    void should_reserve_the_capacity_of_a_gang_until_its_tickets_arrive() {
      // GIVEN
      startTicketRequest();

      // WHEN
      submitBulkJob();
      advance(1400);

      // THEN
      assertThat(fixture.startsOf("late.0.0.0")).isEqualTo(1);
    }

    @Test
    void should_reserve_the_capacity_of_a_gang_when_a_worker_that_it_asked_about_leaves() {
      // GIVEN
      startTicketRequest();

      // WHEN
      fixture.cell.unregister("few1");
      advance(100);
      submitBulkJob();
      advance(1500);

      // THEN
      assertThat(fixture.startsOf("late.0.0.0")).isEqualTo(1);
    }

    @Test
    void should_reserve_the_capacity_of_a_gang_when_its_request_gets_no_answer() {
      // GIVEN
      startTicketRequest();

      // WHEN
      losesNextAnswer = true;
      submitBulkJob();
      advance(2500);

      // THEN
      assertThat(fixture.startsOf("late.0.0.0")).isEqualTo(1);
    }
  }

  @Nested
  class ConcurrentRequests {
    @Test
    void should_request_tickets_while_an_approval_call_is_in_flight() {
      // GIVEN a waiting gang that asks about new workers, which are not approved
      workers("few", 8);
      fixture.lead();
      advance(50);
      job("blocks-few", "checks", 8, false, "few", Duration.ofSeconds(20));
      job("late", "layouts", 6, true, "few", Duration.ofSeconds(30));
      advance(10_000);
      for (int i = 1; i <= 20; i++) {
        fixture.cell.register(fixture.workers.add("new" + i, "few", MILLICORES).entry);
      }
      advance(150);

      // WHEN
      fixture.call(CellCall.Action.CANCEL, "blocks-few", null);
      advance(CALL.toMillis() + 300);

      // THEN
      assertThat(fixture.startsOf("late.0.0.0")).isEqualTo(1);
    }

    @Test
    void should_start_on_spare_workers_when_a_planned_worker_leaves_before_the_answer() {
      // GIVEN
      workers("few", 8);
      fixture.lead();
      advance(50);
      job("blocks-few", "checks", 8, false, "few", Duration.ofSeconds(20));
      job("late", "layouts", 4, true, "few", Duration.ofSeconds(30));
      advance(10_000);
      fixture.call(CellCall.Action.CANCEL, "blocks-few", null);
      advance(100);

      // WHEN
      fixture.cell.unregister("few1");
      advance(CALL.toMillis() + 300);

      // THEN
      assertThat(fixture.startsOf("late.0.0.0")).isEqualTo(1);
    }
  }
}

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

/** The room of a gang between its question for tickets and the answer. */
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
                  Single.create(
                      emitter -> time.after(CALL, () -> emitter.onSuccess(approveAll(ids)))),
          List.of("vm-1", "vm-2"));

  private static AdviceReply approveAll(List<String> ids) {
    List<AdviceReply.Ticket> tickets =
        ids.stream().map(id -> new AdviceReply.Ticket(id, "t")).toList();
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

  private void pass(long millis) {
    fixture.time.pass(Duration.ofMillis(millis));
  }

  @AfterEach
  void should_never_break_a_promise() {
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @Nested
  class TakenMeanwhile {
    @Test
    void should_keep_the_room_of_a_gang_until_its_tickets_are_there() {
      // GIVEN a gang that keeps much room idle, one whose tickets lapse, and smaller tasks
      workers("idle", 12);
      workers("few", 8);
      fixture.lead();
      pass(50);
      job("blocks-idle", "checks", 1, false, "idle", Duration.ofSeconds(60));
      job("blocks-few", "checks", 8, false, "few", Duration.ofSeconds(20));
      job("wide", "layouts", 12, true, "idle", Duration.ofSeconds(20));
      job("late", "layouts", 6, true, "few", Duration.ofSeconds(30));
      job("small", "bulk", 8, false, "few", Duration.ofSeconds(30));
      pass(10_000);

      // WHEN its room is there sooner than expected
      fixture.call(CellCall.Action.CANCEL, "blocks-few", null);
      pass(1500);

      // THEN
      assertThat(fixture.startsOf("late.0.0.0")).isEqualTo(1);
    }
  }
}

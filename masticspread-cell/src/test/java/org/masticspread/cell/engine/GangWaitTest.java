package org.masticspread.cell.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.CellFixture;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.resource.ResourceVector;

/** Gangs that have room now, and would end sooner on workers that are still busy. */
class GangWaitTest {
  private static final int MILLICORES = 4000;

  private final CellFixture fixture =
      new CellFixture(Jobs.config(Jobs.queue("checks", 0, Optional.empty())));

  private void pass(long millis) {
    fixture.time.pass(Duration.ofMillis(millis));
  }

  private void occupyOneOf(String rack, Duration runs) {
    String id = "other-" + rack;
    fixture.workers.describe(id, new ResourceVector(MILLICORES, 1024, 0), runs);
    fixture.accept(Jobs.job(id, Jobs.labelled(Jobs.step(1, MILLICORES, runs, false), rack)));
  }

  private void gangOfOneRack(int tasks, Duration runs) {
    fixture.workers.describe("gang", new ResourceVector(MILLICORES, 1024, 0), runs);
    fixture.workers.describeGang("gang.0.0", tasks);
    fixture.accept(Jobs.job("gang", Jobs.sameRack(Jobs.step(tasks, MILLICORES, runs, true))));
  }

  @AfterEach
  void should_never_break_a_promise() {
    assertThat(fixture.workers.violations()).isEmpty();
  }

  @Nested
  class FasterPlan {
    @Test
    void should_not_stand_still_for_a_rack_that_is_free_later() {
      // GIVEN four racks with one free worker each, of which the first is free whole in 8 s
      for (int rack = 1; rack <= 4; rack++) {
        fixture.workers.add("w" + rack, "r" + rack, MILLICORES);
        fixture.workers.add("x" + rack, "r" + rack, MILLICORES);
      }
      fixture.lead();
      pass(50);
      for (int rack = 1; rack <= 4; rack++) {
        occupyOneOf("r" + rack, Duration.ofSeconds(rack == 1 ? 8 : 60));
      }

      // WHEN
      gangOfOneRack(2, Duration.ofSeconds(20));
      pass(3000);

      // THEN
      assertThat(fixture.startsOf("gang.0.0.0")).isEqualTo(1);
    }
  }
}

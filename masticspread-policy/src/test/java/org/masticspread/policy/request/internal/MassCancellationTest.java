package org.masticspread.policy.request.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.request.RequestFixture;

class MassCancellationTest {
  private static final int REQUESTS = 10_000;
  private static final int MAX_STEPS_PER_CANCEL = 4;

  private final RequestFixture fixture = RequestFixture.of(1, 1);
  private final TeamConfig team = fixture.configuration.teams().get(0);
  private final ClassQueue queue =
      new ClassQueue(new TeamAccount(team), fixture.configuration.workClasses().get(0));
  private final ExpiryHeap expiries = new ExpiryHeap();

  @ParameterizedTest
  @ValueSource(strings = {"oldest first", "newest first", "any order"})
  void should_take_a_bounded_number_of_steps_per_cancel(String order) {
    // GIVEN
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      entries.add(
          new Entry(fixture.request("a", Urgency.URGENT, true, Duration.ofMillis(i + 1)), queue));
      queue.entries.addLast(entries.get(i));
      expiries.add(entries.get(i), entries.get(i).answerBy);
    }
    if (order.equals("newest first")) {
      Collections.reverse(entries);
    }
    if (order.equals("any order")) {
      Collections.shuffle(entries, new Random(1));
    }
    // WHEN
    for (Entry entry : entries) {
      queue.entries.remove(entry);
      expiries.markStale();
    }
    // THEN
    assertThat(queue.entries.size()).isZero();
    assertThat(queue.entries.bytes()).isZero();
    assertThat(expiries.examined()).isLessThanOrEqualTo((long) MAX_STEPS_PER_CANCEL * REQUESTS);
    assertThat(expiries.size()).isLessThan(200);
  }
}

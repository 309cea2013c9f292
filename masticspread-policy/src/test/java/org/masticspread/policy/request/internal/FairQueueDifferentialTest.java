package org.masticspread.policy.request.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.request.RequestFixture;
import org.masticspread.policy.request.internal.FairQueue.Choice;
import org.masticspread.policy.request.internal.FairQueue.Stage;

class FairQueueDifferentialTest {
  private static final long BURST_NANOS = Duration.ofMillis(500).toNanos();

  /** The rules of the queue, implemented by a linear search over all classes. */
  private record NaiveQueue(List<ClassQueue> classes) {
    Optional<Choice> choose(long now, int free, int reserved) {
      boolean beyondReserve = free > reserved;
      boolean halfReserveFree = free > reserved / 2;
      return floor(now, Urgency.URGENT, q -> halfReserveFree || q.reservedTag <= now)
          .or(() -> floor(now, Urgency.NORMAL, q -> halfReserveFree || isOverdue(q, now)))
          .or(() -> floor(now, Urgency.DEFERRABLE, q -> beyondReserve || isOverdue(q, now)))
          .or(() -> beyondReserve ? lifted(now) : Optional.empty())
          .or(() -> beyondReserve ? teamFloor(now) : Optional.empty())
          .or(() -> beyondReserve ? spare() : Optional.empty());
    }

    Stream<ClassQueue> backlogged() {
      return classes.stream().filter(ClassQueue::isBacklogged);
    }

    static boolean isOverdue(ClassQueue queue, long now) {
      boolean waitedLong = queue.entries.first().queuedAt <= now - Duration.ofMillis(250).toNanos();
      return waitedLong && queue.floorTag <= now - BURST_NANOS / 4;
    }

    Optional<Choice> floor(
        long now, Urgency urgency, java.util.function.Predicate<ClassQueue> may) {
      return backlogged()
          .filter(q -> q.urgency() == urgency && q.floorTag <= now && may.test(q))
          .min(Comparator.<ClassQueue>comparingLong(q -> q.floorTag).thenComparing(q -> q.name))
          .map(q -> new Choice(q, Stage.CLASS_FLOOR));
    }

    Optional<Choice> lifted(long now) {
      return backlogged()
          .filter(q -> q.urgency() != Urgency.URGENT && q.liftAt <= now && q.team.shareTag <= now)
          .min(Comparator.<ClassQueue>comparingLong(q -> q.liftAt).thenComparing(q -> q.name))
          .map(q -> new Choice(q, Stage.LIFTED));
    }

    Optional<Choice> teamFloor(long now) {
      return backlogged()
          .filter(q -> q.team.floorTag <= now)
          .min(
              Comparator.<ClassQueue>comparingLong(q -> q.team.floorTag)
                  .thenComparing(q -> q.team.name)
                  .thenComparing(ClassQueue::urgency))
          .map(q -> new Choice(q, Stage.TEAM_FLOOR));
    }

    Optional<Choice> spare() {
      return backlogged()
          .min(
              Comparator.comparing(ClassQueue::urgency)
                  .thenComparing(q -> q.team.spareUsed)
                  .thenComparing(q -> q.team.name))
          .map(q -> new Choice(q, Stage.SPARE));
    }
  }

  @Property(seed = "20261204", tries = 150)
  void should_choose_like_a_linear_search(@ForAll @IntRange(max = 1_000_000) int seed) {
    // GIVEN
    RequestFixture fixture = RequestFixture.of(4, 8);
    Shares shares = new Shares();
    shares.configure(fixture.configuration, PoolId.of("pool"));
    shares.distribute(32);
    FairQueue queue = new FairQueue(BURST_NANOS);
    List<ClassQueue> classes = new ArrayList<>(shares.classes());
    classes.sort(Comparator.comparing(q -> q.name));
    NaiveQueue naive = new NaiveQueue(classes);
    Random random = new Random(seed);
    for (int i = 0; i < 300; i++) {
      long now = Times.nanos(fixture.instant());
      ClassQueue added = classes.get(random.nextInt(classes.size()));
      Duration within = Duration.ofMillis(100 + random.nextInt(2_000));
      String team = added.team.name;
      Entry entry = new Entry(fixture.request(team, added.urgency(), true, within), added);
      entry.queuedAt = now;
      queue.update(added.team, () -> added.entries.addLast(entry));
      int free = 1 + random.nextInt(8);
      int reserved = random.nextInt(8);
      // WHEN
      Choice choice = queue.choose(now, free, reserved);
      // THEN
      assertThat(Optional.ofNullable(choice)).isEqualTo(naive.choose(now, free, reserved));
      if (choice != null && random.nextInt(4) > 0) {
        long cost = random.nextInt(400_000_000);
        ClassQueue chosen = choice.queue();
        queue.update(
            chosen.team,
            () -> {
              chosen.entries.remove(chosen.entries.first());
              queue.charge(choice, now, cost);
            });
      }
      fixture.advance(Duration.ofMillis(random.nextInt(40)));
    }
    assertThat(fixture.instant()).isAfter(Instant.parse("2026-01-01T00:00:00Z"));
  }
}

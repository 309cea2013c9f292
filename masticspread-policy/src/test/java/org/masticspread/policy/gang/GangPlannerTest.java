package org.masticspread.policy.gang;

import static org.assertj.core.api.Assertions.assertThat;
import static org.masticspread.policy.placement.Samples.START;
import static org.masticspread.policy.placement.Samples.job;
import static org.masticspread.policy.placement.Samples.size;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.placement.RackLedger;
import org.masticspread.policy.placement.Samples;

class GangPlannerTest {
  private static final ResourceVector PER_TASK = size(4, 4);
  private static final Duration STEP = Duration.ofMillis(100);
  private static final Duration RUN_TIME = Duration.ofSeconds(10);
  private static final Duration TIMEOUT = Duration.ofMinutes(10);

  /** A gang, its planner, and its messages in flight, some of which are lost. */
  private final class Gang {
    private final JobKey job;
    private final int tasks;
    private final GangPlanner planner;
    private final List<Runnable> messages = new ArrayList<>();
    private Instant startedAt;
    private boolean ended;

    private Gang(String name, int tasks, Duration age, long seed) {
      this.job = job("team", name);
      this.tasks = tasks;
      this.planner = new GangPlanner(tasks, PER_TASK, START.minus(age), GangTimes.DEFAULT, seed);
    }

    private void step() {
      List<Runnable> due = List.copyOf(messages);
      messages.clear();
      due.forEach(Runnable::run);
      send(planner.begin(clock.now, digests()));
      send(planner.tick(clock.now));
      if (startedAt != null && !ended && !clock.now.isBefore(startedAt.plus(RUN_TIME))) {
        ended = true;
        for (int i = 0; i < tasks; i++) {
          TaskAttempt attempt = new TaskAttempt(new TaskKey(job, i), planner.attempt());
          ledgers.values().forEach(ledger -> ledger.ended(attempt));
        }
      }
    }

    private void send(List<GangCommand> commands) {
      for (GangCommand command : commands) {
        if (command instanceof GangCommand.Reserve reserve && !isLost()) {
          messages.add(() -> reserve(reserve));
        } else if (command instanceof GangCommand.Release release && !isLost()) {
          messages.add(() -> ledgers.get(release.rack()).release(job, release.attempt()));
        } else if (command instanceof GangCommand.Start start) {
          start(start);
        }
      }
    }

    private void reserve(GangCommand.Reserve reserve) {
      Instant until = clock.now.plus(reserve.ttl());
      int reserved =
          ledgers
              .get(reserve.rack())
              .reserve(job, reserve.attempt(), PER_TASK, reserve.wanted(), until);
      if (!isLost()) {
        messages.add(
            () -> send(planner.reserved(reserve.rack(), reserve.attempt(), reserved, clock.now)));
      }
    }

    private void start(GangCommand.Start start) {
      assertThat(start.tasksByRack().values().stream().mapToInt(n -> n).sum()).isEqualTo(tasks);
      int index = 0;
      for (Map.Entry<RackId, Integer> share : start.tasksByRack().entrySet()) {
        for (int i = 0; i < share.getValue(); i++) {
          assertThat(ledgers.get(share.getKey()).place(task(index))).isPresent();
          index++;
        }
      }
      startedAt = clock.now;
    }

    private PlaceTask task(int index) {
      return new PlaceTask(
          new TaskKey(job, index),
          planner.attempt(),
          ShardId.work(0),
          new ClassKey(job.team(), Samples.CLASS),
          Urgency.NORMAL,
          JobKind.GANG,
          PER_TASK,
          clock.now.plusSeconds(5),
          Payload.EMPTY);
    }
  }

  private final Samples.Clock clock = new Samples.Clock();
  private final Map<RackId, RackLedger> ledgers = new TreeMap<>();
  private SplittableRandom random;
  private int lossPercent;

  private boolean isLost() {
    return random.nextInt(100) < lossPercent;
  }

  private List<RackDigest> digests() {
    return ledgers.values().stream().map(ledger -> ledger.digest(1)).toList();
  }

  private void setUp(long seed, int loss, int racks) {
    random = new SplittableRandom(seed);
    lossPercent = loss;
    for (int i = 0; i < racks; i++) {
      RackLedger ledger = Samples.ledger(clock, Samples.workers(2, "rack" + i, size(16, 16)));
      ledgers.put(RackId.of("rack" + i), ledger);
    }
  }

  private void runUntilEnded(List<Gang> gangs) {
    Instant deadline = clock.now.plus(TIMEOUT);
    while (gangs.stream().anyMatch(g -> !g.ended) && clock.now.isBefore(deadline)) {
      gangs.forEach(Gang::step);
      clock.plus(STEP);
    }
  }

  @Property(seed = "42", tries = 100)
  void should_start_each_gang_whole_despite_lost_messages(
      @ForAll long seed, @ForAll @IntRange(max = 30) int loss) {
    // GIVEN
    setUp(seed, loss, 3);
    List<Gang> gangs = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      int tasks = 12 + random.nextInt(13);
      gangs.add(new Gang("gang" + i, tasks, Duration.ofSeconds(random.nextInt(60)), seed + i));
    }
    // WHEN
    runUntilEnded(gangs);
    // THEN
    assertThat(gangs).allMatch(g -> g.ended);
  }

  @ParameterizedTest
  @CsvSource({"0, 1", "0, 2", "20, 3", "20, 4"})
  void should_let_the_older_of_two_gangs_start_first(int loss, long seed) {
    // GIVEN
    setUp(seed, loss, 2);
    Gang younger = new Gang("younger", 16, Duration.ZERO, 1);
    Gang older = new Gang("older", 16, Duration.ofSeconds(15), 2);
    ledgers.get(RackId.of("rack0")).reserve(younger.job, 1, PER_TASK, 4, clock.now.plusSeconds(3));
    ledgers.get(RackId.of("rack1")).reserve(older.job, 1, PER_TASK, 4, clock.now.plusSeconds(3));
    // WHEN
    runUntilEnded(List.of(younger, older));
    // THEN
    assertThat(List.of(older, younger)).allMatch(g -> g.ended);
    assertThat(older.startedAt).isBefore(younger.startedAt);
  }
}

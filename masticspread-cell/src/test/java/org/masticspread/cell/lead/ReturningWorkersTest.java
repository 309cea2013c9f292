package org.masticspread.cell.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.cell.testing.VmCluster;
import org.masticspread.model.cell.JobState;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellCall.Action;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.CellReply.Outcome;
import org.masticspread.model.resource.ResourceVector;

/**
 * Draws workers that crash and start again under their ids, cuts that follow, and leaders that are
 * killed or cut off meanwhile.
 */
class ReturningWorkersTest {
  private static final List<String> VMS = List.of("vm-1", "vm-2", "vm-3");
  private static final List<String> WORKERS = List.of("w1", "w2", "w3", "w4", "w5", "w6");
  private static final Duration STEP = Duration.ofMillis(100);
  private static final Duration RUN_TIME = Duration.ofSeconds(40);
  private static final Duration LONG_RUN = Duration.ofSeconds(12);
  private static final Duration RUN_IN_FLIGHT = Duration.ofSeconds(8);
  private static final int TASKS_IN_FLIGHT = 10;
  private static final Duration CALM_TIME = Duration.ofSeconds(45);

  /** A worker that answers or registers within this time shows its incarnation before a cut. */
  private static final int MIN_MILLIS_BEFORE_CUT = 200;

  private final VmCluster cluster =
      new VmCluster(Jobs.config(Jobs.queue("checks", 0, Optional.empty())));
  private final Map<String, Long> busyUntil = new HashMap<>();
  private final List<String> accepted = new ArrayList<>();
  private final List<String> faults = new ArrayList<>();

  static LongStream seeds() {
    return LongStream.rangeClosed(1, Long.getLong("seeds", 60));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void should_run_no_task_twice_and_lose_none(long seed) {
    // GIVEN
    Random random = new Random(seed);
    WORKERS.forEach(id -> cluster.workers.add(id, "r1", 4000));
    startVms(random);

    // WHEN
    disturb(random, this::crash);

    // THEN
    assertAllRanOnce(seed);
  }

  /** Guards against restarts that show nowhere before a cut, with clocks that start anywhere. */
  @ParameterizedTest
  @MethodSource("seeds")
  void should_run_no_task_twice_and_lose_none_when_calls_are_bound(long seed) {
    // GIVEN
    Random random = new Random(seed);
    cluster.workers.bindsCalls = true;
    WORKERS.forEach(id -> cluster.workers.add(id, "r1", 4000).keepsAcknowledgedNumber = true);
    startVms(random);

    // WHEN
    disturb(random, this::crashUnseen);

    // THEN
    assertAllRanOnce(seed);
  }

  private void startVms(Random random) {
    WORKERS.forEach(id -> cluster.workers.clockRate(id, random.nextBoolean() ? 1 : 0.98));
    VMS.forEach(name -> cluster.start(name, 1 + random.nextDouble()));
    cluster.time.pass(Duration.ofMillis(2500));
  }

  private void disturb(Random random, Consumer<Random> crash) {
    for (long end = now() + RUN_TIME.toMillis(); now() < end; cluster.time.pass(STEP)) {
      if (random.nextInt(8) == 0) {
        submit(random);
      }
      if (random.nextInt(12) == 0) {
        crash.accept(random);
      }
      if (random.nextInt(60) == 0) {
        loseLeader(random);
      }
      if (random.nextInt(20) == 0) {
        delayNextStart(random);
      }
    }
    cluster.time.pass(CALM_TIME);
  }

  private void assertAllRanOnce(long seed) {
    assertThat(cluster.workers.violations()).as("seed %d, faults %s", seed, faults).isEmpty();
    assertThat(accepted.stream().filter(job -> !succeeded(job)))
        .as("seed %d, faults %s", seed, faults)
        .isEmpty();
  }

  private boolean succeeded(String job) {
    List<CellReply> replies = cluster.call("vm-1", Action.SHOW, job, null);
    cluster.time.pass(Duration.ofMillis(100));
    return replies.stream().anyMatch(reply -> reply.state() == JobState.SUCCEEDED);
  }

  private long now() {
    return cluster.time.millis();
  }

  private static <T> T pick(Random random, List<T> from) {
    return from.get(random.nextInt(from.size()));
  }

  private void submit(Random random) {
    String id = "j" + now();
    int tasks = 1 + random.nextInt(3);
    Duration runs = random.nextInt(4) == 0 ? LONG_RUN : Duration.ofMillis(300);
    submit(random, id, tasks, runs);
  }

  private void submit(Random random, String id, int tasks, Duration runs) {
    cluster.workers.describe(id, new ResourceVector(500, 1024, 0), runs);
    String name = pick(random, VMS);
    cluster.send(
        name,
        new CellCall(
            Action.SUBMIT, "checks", 1, id, Jobs.job(id, Jobs.step(tasks, 500, runs, false))),
        reply -> {
          if (reply.outcome() == Outcome.ACCEPTED) {
            accepted.add(id);
          }
        });
  }

  /** Lets a worker leave its next start unanswered and carry it out seconds later. */
  private void delayNextStart(Random random) {
    String worker = pick(random, WORKERS);
    int millis = 2000 + random.nextInt(10_000);
    faults.add(now() + " late start " + worker + " " + millis);
    cluster.workers.state(worker).nextStartDelay = Duration.ofMillis(millis);
  }

  /** Lets a worker crash, and mostly cuts it off some time after it is back. */
  private void crash(Random random) {
    String worker = pick(random, WORKERS);
    if (busyUntil.getOrDefault(worker, 0L) > now()) {
      return;
    }
    int down = 50 + random.nextInt(1000);
    int untilCut = down + MIN_MILLIS_BEFORE_CUT + random.nextInt(3000);
    int cut = random.nextInt(4) == 0 ? 0 : 500 + random.nextInt(9000);
    faults.add(now() + " crash " + worker + " " + down + ", cut in " + untilCut + " for " + cut);
    cluster.workers.state(worker).answerGap = Duration.ofMillis(random.nextInt(60));
    cluster.crashWorker(worker, Duration.ofMillis(down));
    if (cut > 0) {
      cluster.time.after(Duration.ofMillis(untilCut), () -> cutOff(worker, true));
      cluster.time.after(Duration.ofMillis(untilCut + cut), () -> cutOff(worker, false));
    }
    busyUntil.put(worker, now() + untilCut + cut + random.nextInt(4000));
  }

  /**
   * Lets a worker crash at any moment, and mostly cuts it off at any moment from then on. Its new
   * clock starts anywhere, and its registry entry is behind until the cut is over.
   */
  private void crashUnseen(Random random) {
    String worker = pick(random, WORKERS);
    if (busyUntil.getOrDefault(worker, 0L) > now()) {
      return;
    }
    int delay = random.nextInt((int) STEP.toMillis());
    int down = random.nextInt(random.nextBoolean() ? 100 : 1500);
    // Half of the cuts come before the worker is back, when calls are in flight.
    int untilCut = delay + (random.nextBoolean() ? down : down + random.nextInt(3000));
    int cut = random.nextInt(4) == 0 ? 0 : 500 + random.nextInt(9000);
    int clockAhead = random.nextInt(40_000) - 20_000;
    // A worker that is cut off cannot register.
    int registrable = random.nextInt(3000);
    boolean cutBefore = cut > 0 && delay + down + registrable >= untilCut;
    int registration = cutBefore ? untilCut + cut - delay - down + 50 : registrable;
    String fault =
        now()
            + " crash "
            + worker
            + " in "
            + delay
            + " for "
            + down
            + ", clock ahead "
            + clockAhead;
    faults.add(fault + ", cut in " + untilCut + " for " + cut + ", registers in " + registration);
    cluster.workers.state(worker).answerGap = Duration.ofMillis(random.nextInt(60));
    cluster.time.after(
        Duration.ofMillis(delay),
        () ->
            cluster.crashWorker(
                worker,
                Duration.ofMillis(down),
                now() + clockAhead,
                Duration.ofMillis(registration)));
    if (random.nextBoolean()) {
      // Its starts are sent while the worker is down.
      String id = "k" + now() + worker;
      cluster.time.after(
          Duration.ofMillis(delay + 5), () -> submit(random, id, TASKS_IN_FLIGHT, RUN_IN_FLIGHT));
    }
    if (cut > 0) {
      cluster.time.after(Duration.ofMillis(untilCut), () -> cutOff(worker, true));
      cluster.time.after(Duration.ofMillis(untilCut + cut), () -> cutOff(worker, false));
    }
    busyUntil.put(worker, now() + untilCut + cut + random.nextInt(4000));
  }

  private void cutOff(String worker, boolean cut) {
    VMS.forEach(name -> cluster.cutFromWorker(name, worker, cut));
  }

  private void loseLeader(Random random) {
    List<String> leaders = cluster.leaders();
    if (leaders.size() != 1) {
      return;
    }
    String leader = leaders.get(0);
    int millis = 500 + random.nextInt(4000);
    if (random.nextBoolean()) {
      faults.add(now() + " kill " + leader + " for " + millis);
      cluster.kill(leader);
      cluster.time.after(Duration.ofMillis(millis), () -> cluster.start(leader, 1));
      return;
    }
    faults.add(now() + " cut off " + leader + " for " + millis);
    cluster.cutFromStore(leader, true);
    cluster.cutFromPeers(leader, true);
    cluster.time.after(
        Duration.ofMillis(millis),
        () -> {
          cluster.cutFromStore(leader, false);
          cluster.cutFromPeers(leader, false);
        });
  }
}

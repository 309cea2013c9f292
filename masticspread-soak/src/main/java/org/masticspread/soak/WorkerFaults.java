package org.masticspread.soak;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.masticspread.adapter.standin.StandInPlatform;

/** Injects faults into workers and the links to them. Used by one thread. */
final class WorkerFaults {
  static final int WORKERS = 6;

  /** Average number of steps between faults. */
  private static final int FAULT_STEPS = 15;

  private static final int MAX_DOWN_STEPS = 30;
  private static final int MAX_STEPS_UNTIL_LOSS = 30;
  private static final int MAX_STEPS_UNTIL_CUT = 12;
  private static final int MIN_CUT_STEPS = 10;
  private static final int MAX_CUT_STEPS = 200;
  private static final int MAX_CALM_STEPS = 60;
  private static final int FIRST_LONG_JOB_STEPS = 8;
  private static final int LAST_LONG_JOB_STEPS = 30;
  private static final int MIN_START_DELAY_MILLIS = 2000;
  private static final int MAX_START_DELAY_MILLIS = 12_000;
  private static final double SLOW_CLOCK_RATE = 0.98;
  private static final long MAX_CLOCK_MILLIS = Duration.ofHours(1).toMillis();

  private final SplittableRandom random;
  private final Schedule schedule;
  private final LeaderLoss leaderLoss;
  private final List<FaultProxy> links = new ArrayList<>();
  private final int[] busyUntilStep = new int[WORKERS];
  private final StandInPlatform platform;

  /** Ends the leader. */
  @FunctionalInterface
  interface LeaderLoss {
    void inject(String signal, int step) throws IOException, InterruptedException;
  }

  /** Starts a platform with proxies before its workers. */
  WorkerFaults(
      SplittableRandom random, Schedule schedule, EventLoopGroup loops, LeaderLoss leaderLoss)
      throws IOException {
    this.random = random;
    this.schedule = schedule;
    this.leaderLoss = leaderLoss;
    platform =
        StandInPlatform.start(
            WORKERS,
            address -> {
              links.add(new FaultProxy(loops, address(address)));
              return links.get(links.size() - 1).address();
            });
    for (int worker = 0; worker < WORKERS; worker++) {
      platform.setWorkerClock(worker, drawClock(), random.nextBoolean() ? 1 : SLOW_CLOCK_RATE);
    }
  }

  static InetSocketAddress address(String hostAndPort) {
    String[] parts = hostAndPort.split(":");
    return new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
  }

  StandInPlatform platform() {
    return platform;
  }

  private long drawClock() {
    return random.nextLong(MAX_CLOCK_MILLIS);
  }

  /** Draws whether a fault begins at a step, and which. */
  void step(int step, Callers callers) {
    if (random.nextInt(FAULT_STEPS) != 0) {
      return;
    }
    int worker = random.nextInt(WORKERS);
    switch (random.nextInt(6)) {
      case 0 -> {
        if (busyUntilStep[worker] <= step) {
          cut(worker, step);
        }
      }
      case 1 -> {
        int range = MAX_START_DELAY_MILLIS - MIN_START_DELAY_MILLIS;
        int millis = MIN_START_DELAY_MILLIS + random.nextInt(range);
        platform.delayNextStart(worker, Duration.ofMillis(millis));
      }
      case 2 -> {
        if (busyUntilStep[worker] <= step) {
          crash(worker, step, step + 2 + random.nextInt(MAX_DOWN_STEPS), false);
        }
      }
      default -> {
        crashAndCut(step);
        submitLongJobs(step, callers);
      }
    }
  }

  /**
   * Lets workers crash, start again and be cut off soon after, with or without a loss of the leader
   * in between.
   */
  private void crashAndCut(int step) {
    int downSteps = FIRST_LONG_JOB_STEPS + random.nextInt(MAX_DOWN_STEPS - FIRST_LONG_JOB_STEPS);
    int backStep = step + downSteps;
    int lossStep = backStep + random.nextInt(MAX_STEPS_UNTIL_LOSS);
    boolean heard = random.nextBoolean();
    int cutStep = (heard ? lossStep : backStep) + 1 + random.nextInt(MAX_STEPS_UNTIL_CUT);
    int crashes = 1 + random.nextInt(WORKERS);
    boolean losesLeader = random.nextBoolean();
    String signal = random.nextBoolean() ? "KILL" : "TERM";
    int worker = latestUsed();
    for (int i = 0; i < crashes; i++) {
      if (busyUntilStep[worker] <= step) {
        crash(worker, step, backStep, !heard);
        cut(worker, cutStep);
      }
      worker = random.nextInt(WORKERS);
    }
    if (losesLeader) {
      schedule.fault(lossStep, () -> leaderLoss.inject(signal, lossStep));
    }
  }

  /** Returns the worker that started the latest task, and so has room for more. */
  private int latestUsed() {
    List<String> starts = platform.runHistory().starts();
    String worker = starts.isEmpty() ? "w-0" : starts.get(starts.size() - 1).split(" ")[0];
    return Integer.parseInt(worker.substring("w-".length()));
  }

  /**
   * Submits long jobs while calls to a worker that crashes at this step open new connections, and
   * before it gets no more tasks for its silence.
   */
  private void submitLongJobs(int step, Callers callers) {
    for (int i = FIRST_LONG_JOB_STEPS; i < LAST_LONG_JOB_STEPS; i += 2) {
      schedule.fault(step + i, () -> callers.submitLong(random));
    }
  }

  /**
   * Lets a worker crash without an end of its connections, and start again.
   *
   * @param unheard whether the answers of the next incarnation are lost
   */
  private void crash(int worker, int step, int backStep, boolean unheard) {
    FaultProxy link = links.get(worker);
    long clockMillis = drawClock();
    link.isolate();
    // Calls that have passed the proxy belong to the former incarnation.
    schedule.fault(step + 1, () -> platform.crashWorker(worker));
    schedule.recovery(
        backStep,
        () -> {
          link.mode(unheard ? FaultProxy.Mode.CUT_ANSWERS : FaultProxy.Mode.PASS);
          platform.startWorkerAgain(worker, clockMillis);
          link.rejoin();
        });
    busyUntilStep[worker] = backStep + random.nextInt(MAX_CALM_STEPS);
  }

  /** Cuts a worker off for a while, in which it runs on. */
  private void cut(int worker, int step) {
    FaultProxy link = links.get(worker);
    int endStep = step + MIN_CUT_STEPS + random.nextInt(MAX_CUT_STEPS - MIN_CUT_STEPS);
    schedule.fault(step, () -> link.mode(FaultProxy.Mode.CUT));
    schedule.recovery(
        endStep,
        () -> {
          link.mode(FaultProxy.Mode.PASS);
          link.reset();
        });
    busyUntilStep[worker] = endStep + random.nextInt(MAX_CALM_STEPS);
  }
}

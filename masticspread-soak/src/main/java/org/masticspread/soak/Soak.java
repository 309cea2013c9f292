package org.masticspread.soak;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import org.masticspread.adapter.standin.StandInPlatform;

/**
 * A soak run with VMs as processes, callers, and overlapping faults that are drawn from a seed. At
 * the end, the run compares the answers to callers with what the workers ran, to find violations of
 * the guarantees.
 *
 * <p>Example: {@code new Soak(7, 3, Duration.ofSeconds(20)).run()} returns the violations.
 */
final class Soak {
  private static final Duration WARM_UP = Duration.ofSeconds(4);
  private static final Duration STEP_INTERVAL = Duration.ofMillis(50);
  private static final Duration FINISH_TIMEOUT = Duration.ofSeconds(40);

  /**
   * Average number of steps between faults. A fault lasts about as long, so that faults overlap.
   */
  private static final int FAULT_STEPS = 25;

  private final long seed;
  private final int vmCount;
  private final Duration faultTime;
  private final List<VmSubprocess> processes = new ArrayList<>();
  private final List<FaultProxy> stores = new ArrayList<>();
  private final List<Recovery> recoveries = new ArrayList<>();

  Soak(long seed, int vmCount, Duration faultTime) {
    this.seed = seed;
    this.vmCount = vmCount;
    this.faultTime = faultTime;
  }

  /** Ends a fault. */
  @FunctionalInterface
  private interface Action {
    void run() throws IOException, InterruptedException;
  }

  private record Recovery(int step, Action action) {}

  /** Executes the run; returns the violations found, with the directory of the logs. */
  List<String> run() throws IOException, InterruptedException {
    Path directory = Files.createTempDirectory("soak-" + seed + "-");
    NioEventLoopGroup loops = new NioEventLoopGroup(2);
    try (StandInPlatform platform = StandInPlatform.start(6)) {
      String[] store = platform.storeAddress().split(":");
      InetSocketAddress target = new InetSocketAddress(store[0], Integer.parseInt(store[1]));
      for (int i = 1; i <= vmCount; i++) {
        FaultProxy proxy = new FaultProxy(loops, target);
        stores.add(proxy);
        String ip = "127.0.0." + (10 + i);
        processes.add(
            new VmSubprocess(
                "vm-" + i, platform.settings("vm-" + i, ip, proxy.address()), directory));
      }
      for (VmSubprocess process : processes) {
        process.start();
      }
      Thread.sleep(WARM_UP.toMillis());
      Callers callers = new Callers(processes.stream().map(VmSubprocess::front).toList(), seed);
      runSteps(callers, platform);
      List<String> violations = new ArrayList<>(callers.finish(FINISH_TIMEOUT));
      violations.addAll(platform.runHistory().violations());
      violations.addAll(falseRefusals(callers, platform));
      violations.replaceAll(text -> "seed " + seed + ": " + text + " (logs in " + directory + ")");
      return violations;
    } finally {
      for (VmSubprocess process : processes) {
        process.kill();
      }
      loops.shutdownGracefully();
    }
  }

  private void runSteps(Callers callers, StandInPlatform platform)
      throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(seed);
    int steps = (int) (faultTime.toMillis() / STEP_INTERVAL.toMillis());
    for (int step = 0; step < steps; step++) {
      callers.submitRandom(random);
      if (random.nextInt(FAULT_STEPS) == 0) {
        injectFault(random, step, platform);
      }
      recover(step);
      Thread.sleep(STEP_INTERVAL.toMillis());
    }
    recover(Integer.MAX_VALUE);
  }

  private void recover(int step) throws IOException, InterruptedException {
    for (Recovery recovery : List.copyOf(recoveries)) {
      if (recovery.step <= step) {
        recoveries.remove(recovery);
        recovery.action.run();
      }
    }
  }

  private void injectFault(SplittableRandom random, int step, StandInPlatform platform)
      throws IOException, InterruptedException {
    VmSubprocess vm = processes.get(random.nextInt(vmCount));
    FaultProxy store = stores.get(random.nextInt(vmCount));
    int endStep = step + 5 + random.nextInt(FAULT_STEPS);
    switch (random.nextInt(8)) {
      case 0 -> {
        vm.signal("KILL");
        recoveries.add(new Recovery(endStep, vm::start));
      }
      case 1 -> {
        vm.signal("TERM");
        recoveries.add(new Recovery(endStep + 80, vm::start));
      }
      case 2 -> {
        vm.signal("STOP");
        recoveries.add(new Recovery(endStep, () -> vm.signal("CONT")));
      }
      case 3 -> disturb(store, FaultProxy.Mode.CUT_REQUESTS, endStep);
      case 4 -> disturb(store, FaultProxy.Mode.CUT_ANSWERS, endStep);
      case 5 -> disturb(store, FaultProxy.Mode.DELAY, endStep);
      case 6 -> store.reset();
      default -> {
        if (random.nextBoolean()) {
          platform.store().refuseNext(1 + random.nextInt(10));
        } else {
          platform.store().loseNextAnswers(1 + random.nextInt(3));
        }
      }
    }
  }

  private void disturb(FaultProxy store, FaultProxy.Mode mode, int endStep) {
    store.mode(mode);
    recoveries.add(
        new Recovery(
            endStep,
            () -> {
              store.mode(FaultProxy.Mode.PASS);
              store.reset();
            }));
  }

  private static List<String> falseRefusals(Callers callers, StandInPlatform platform) {
    Set<String> started =
        platform.runHistory().starts().stream()
            .map(start -> start.split(" ")[1])
            .map(task -> task.substring(0, task.indexOf('.')))
            .collect(Collectors.toSet());
    return callers.submissions().entrySet().stream()
        .filter(
            job -> job.getValue() == Callers.Submission.REFUSED && started.contains(job.getKey()))
        .map(job -> "job " + job.getKey() + " was refused but ran")
        .toList();
  }
}

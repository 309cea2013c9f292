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
 * One run of the soak: some VMs as processes, callers, and faults drawn from a seed that come in
 * series and overlap. Afterwards the promises are checked by what callers were told and workers
 * ran.
 *
 * <p>Example: {@code new Soak(7, 3, Duration.ofSeconds(20)).run()} returns what is wrong.
 */
final class Soak {
  private static final Duration WARM_UP = Duration.ofSeconds(4);
  private static final Duration STEP = Duration.ofMillis(50);
  private static final Duration PATIENCE = Duration.ofSeconds(40);

  /** Steps between two faults on average; a fault lasts about as long, so that they overlap. */
  private static final int FAULT_STEPS = 25;

  private final long seed;
  private final int vms;
  private final Duration time;
  private final List<VmProgram> programs = new ArrayList<>();
  private final List<FaultProxy> stores = new ArrayList<>();
  private final List<Heal> heals = new ArrayList<>();

  Soak(long seed, int vms, Duration time) {
    this.seed = seed;
    this.vms = vms;
    this.time = time;
  }

  /** What ends a fault. */
  @FunctionalInterface
  private interface Action {
    void run() throws IOException, InterruptedException;
  }

  private record Heal(int step, Action action) {}

  /** Plays the run; returns what is wrong, with the folder of the logs. */
  List<String> run() throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("soak-" + seed + "-");
    NioEventLoopGroup loops = new NioEventLoopGroup(2);
    try (StandInPlatform platform = StandInPlatform.start(6)) {
      String[] store = platform.storeAddress().split(":");
      InetSocketAddress target = new InetSocketAddress(store[0], Integer.parseInt(store[1]));
      for (int i = 1; i <= vms; i++) {
        FaultProxy proxy = new FaultProxy(loops, target);
        stores.add(proxy);
        String ip = "127.0.0." + (10 + i);
        programs.add(
            new VmProgram("vm-" + i, platform.settings("vm-" + i, ip, proxy.address()), folder));
      }
      for (VmProgram program : programs) {
        program.start();
      }
      Thread.sleep(WARM_UP.toMillis());
      Callers callers = new Callers(programs.stream().map(VmProgram::front).toList(), seed);
      play(callers, platform);
      List<String> wrong = new ArrayList<>(callers.finish(PATIENCE));
      wrong.addAll(platform.runHistory().violations());
      wrong.addAll(falseRefusals(callers, platform));
      wrong.replaceAll(text -> "seed " + seed + ": " + text + " (logs in " + folder + ")");
      return wrong;
    } finally {
      for (VmProgram program : programs) {
        program.end();
      }
      loops.shutdownGracefully();
    }
  }

  private void play(Callers callers, StandInPlatform platform)
      throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(seed);
    int steps = (int) (time.toMillis() / STEP.toMillis());
    for (int step = 0; step < steps; step++) {
      callers.handIn(random);
      if (random.nextInt(FAULT_STEPS) == 0) {
        fault(random, step, platform);
      }
      heal(step);
      Thread.sleep(STEP.toMillis());
    }
    heal(Integer.MAX_VALUE);
  }

  private void heal(int step) throws IOException, InterruptedException {
    for (Heal heal : List.copyOf(heals)) {
      if (heal.step <= step) {
        heals.remove(heal);
        heal.action.run();
      }
    }
  }

  private void fault(SplittableRandom random, int step, StandInPlatform platform)
      throws IOException, InterruptedException {
    VmProgram vm = programs.get(random.nextInt(vms));
    FaultProxy store = stores.get(random.nextInt(vms));
    int until = step + 5 + random.nextInt(FAULT_STEPS);
    switch (random.nextInt(8)) {
      case 0 -> {
        vm.signal("KILL");
        heals.add(new Heal(until, vm::start));
      }
      case 1 -> {
        vm.signal("TERM");
        heals.add(new Heal(until + 80, vm::start));
      }
      case 2 -> {
        vm.signal("STOP");
        heals.add(new Heal(until, () -> vm.signal("CONT")));
      }
      case 3 -> harm(store, FaultProxy.Mode.CUT_REQUESTS, until);
      case 4 -> harm(store, FaultProxy.Mode.CUT_ANSWERS, until);
      case 5 -> harm(store, FaultProxy.Mode.DELAY, until);
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

  private void harm(FaultProxy store, FaultProxy.Mode mode, int until) {
    store.mode(mode);
    heals.add(
        new Heal(
            until,
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
    return callers.told().entrySet().stream()
        .filter(job -> job.getValue() == Callers.Told.REFUSED && started.contains(job.getKey()))
        .map(job -> "job " + job.getKey() + " was refused and ran")
        .toList();
  }
}

package org.masticspread.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command line of the soak test. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = "Runs VMs as processes, injects faults and checks the guarantees to callers.")
public final class SoakMain implements Callable<Integer> {
  @Option(names = "--seed", description = "The first seed.", defaultValue = "1")
  private long seed;

  @Option(names = "--runs", description = "The number of runs, with consecutive seeds.")
  private int runs = 1;

  @Option(names = "--vms", description = "The number of VMs.")
  private int vms = 3;

  @Option(
      names = "--seconds",
      description = "The duration of fault injection in each run, in seconds.")
  private int seconds = 15;

  private SoakMain() {}

  /**
   * Runs the soak test; exits with 1 if a guarantee was violated.
   *
   * @param args the command line options
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new SoakMain()).execute(args));
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    List<String> violations = new ArrayList<>();
    for (long runSeed = seed; runSeed < seed + runs; runSeed++) {
      Soak soak = new Soak(runSeed, vms, Duration.ofSeconds(seconds));
      List<String> found = soak.run();
      found.forEach(System.out::println);
      System.out.printf(
          "seed %d: %s, %d checks of the configuration%n",
          runSeed, found.isEmpty() ? "kept" : "broken", soak.configChecks());
      violations.addAll(found);
    }
    return violations.isEmpty() ? 0 : 1;
  }
}

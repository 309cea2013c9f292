package org.masticspread.soak;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line of the soak. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = "Runs VMs as processes, injects faults and checks the promises.")
public final class SoakMain implements Callable<Integer> {
  @Option(names = "--seed", description = "The first seed.", defaultValue = "1")
  private long seed;

  @Option(names = "--runs", description = "How many seeds, one after the other.")
  private int runs = 1;

  @Option(names = "--vms", description = "How many VMs.")
  private int vms = 3;

  @Option(names = "--seconds", description = "How long faults go on in each run.")
  private int seconds = 15;

  private SoakMain() {}

  /**
   * Runs the soak; exits with 1 if a promise was broken.
   *
   * @param args the options
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new SoakMain()).execute(args));
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    List<String> wrong = new ArrayList<>();
    for (long next = seed; next < seed + runs; next++) {
      List<String> found = new Soak(next, vms, Duration.ofSeconds(seconds)).run();
      found.forEach(System.out::println);
      System.out.println("seed " + next + ": " + (found.isEmpty() ? "kept" : "broken"));
      wrong.addAll(found);
    }
    return wrong.isEmpty() ? 0 : 1;
  }
}

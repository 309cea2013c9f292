package org.masticspread.cell.load;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import org.masticspread.cell.testing.FakeWorkers;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.StepSpec;

/**
 * Measures for how long accepted jobs stand still: nothing of the job runs, a step's turn has come,
 * its approved workers have room for it twice over, and less than half of the capacity is in use.
 */
final class StandingWork {
  private static final double MOST_IN_USE = 0.5;
  private static final int TIMES_OVER = 2;

  private final FakeWorkers workers;
  private final BiPredicate<String, String> approves;
  private final Map<String, Long> standsSinceMillis = new HashMap<>();
  private Duration longest = Duration.ZERO;
  private String longestJob = "";

  /**
   * Creates a watch.
   *
   * @param workers the workers
   * @param approves whether a step may use a worker
   */
  StandingWork(FakeWorkers workers, BiPredicate<String, String> approves) {
    this.workers = workers;
    this.approves = approves;
  }

  /** Looks at the accepted jobs that have not ended. */
  void look(List<JobOrder> open, long nowMillis) {
    boolean roomy = workers.shareInUse() < MOST_IN_USE;
    for (JobOrder job : open) {
      if (!roomy || !standsStill(job)) {
        standsSinceMillis.remove(job.id());
        continue;
      }
      long since = standsSinceMillis.computeIfAbsent(job.id(), id -> nowMillis);
      Duration stands = Duration.ofMillis(nowMillis - since);
      if (stands.compareTo(longest) > 0) {
        longest = stands;
        longestJob = job.id();
      }
    }
  }

  /** Returns for how long the job stood still that did so longest. */
  Duration longest() {
    return longest;
  }

  /** Returns that job. */
  String longestJob() {
    return longestJob;
  }

  private boolean standsStill(JobOrder job) {
    if (anyRuns(job)) {
      return false;
    }
    for (int number = 0; number < job.steps().size(); number++) {
      if (turnHasCome(job, number) && hasRoom(job, number)) {
        return true;
      }
    }
    return false;
  }

  private boolean anyRuns(JobOrder job) {
    return IntStream.range(0, job.steps().size())
        .boxed()
        .flatMap(number -> tasks(job, number).stream())
        .anyMatch(workers::runs);
  }

  private boolean turnHasCome(JobOrder job, int number) {
    boolean ready =
        job.steps().get(number).after().stream()
            .flatMap(earlier -> tasks(job, earlier).stream())
            .allMatch(workers::hasSucceeded);
    return ready && !tasks(job, number).stream().allMatch(workers::hasSucceeded);
  }

  private boolean hasRoom(JobOrder job, int number) {
    StepSpec step = job.steps().get(number);
    String name = job.id() + ".0." + number;
    int wanted = TIMES_OVER * (step.gang() ? step.tasks() : 1);
    int found = 0;
    for (var entry : workers.entries()) {
      if (approves.test(name, entry.id())) {
        found += workers.slots(entry.id(), step.demand());
      }
    }
    return found >= wanted;
  }

  private static List<String> tasks(JobOrder job, int number) {
    String step = job.id() + ".0." + number + ".";
    return IntStream.range(0, job.steps().get(number).tasks()).mapToObj(i -> step + i).toList();
  }
}

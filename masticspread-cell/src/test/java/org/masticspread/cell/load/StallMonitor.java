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
 * A monitor that measures for how long accepted jobs stall: none of the tasks of a job runs, one of
 * its steps is ready, the approved workers could hold this step twice, and less than half of the
 * capacity is in use.
 */
final class StallMonitor {
  private static final double MAX_SHARE_IN_USE = 0.5;
  private static final int CAPACITY_FACTOR = 2;

  private final FakeWorkers workers;
  private final BiPredicate<String, String> approves;
  private final Map<String, Long> stalledSinceMillis = new HashMap<>();
  private Duration longestStall = Duration.ZERO;
  private String longestJob = "";

  /**
   * Creates a monitor.
   *
   * @param workers the workers
   * @param approves whether a step may use a worker
   */
  StallMonitor(FakeWorkers workers, BiPredicate<String, String> approves) {
    this.workers = workers;
    this.approves = approves;
  }

  /** Checks the accepted jobs that have not ended. */
  void check(List<JobOrder> open, long nowMillis) {
    boolean underused = workers.shareInUse() < MAX_SHARE_IN_USE;
    for (JobOrder job : open) {
      if (!underused || !isStalled(job)) {
        stalledSinceMillis.remove(job.id());
        continue;
      }
      long since = stalledSinceMillis.computeIfAbsent(job.id(), id -> nowMillis);
      Duration stall = Duration.ofMillis(nowMillis - since);
      if (stall.compareTo(longestStall) > 0) {
        longestStall = stall;
        longestJob = job.id();
      }
    }
  }

  /** Returns the duration of the longest stall. */
  Duration longestStall() {
    return longestStall;
  }

  /** Returns the job with the longest stall. */
  String longestJob() {
    return longestJob;
  }

  private boolean isStalled(JobOrder job) {
    if (isRunning(job)) {
      return false;
    }
    for (int number = 0; number < job.steps().size(); number++) {
      if (isReady(job, number) && hasCapacity(job, number)) {
        return true;
      }
    }
    return false;
  }

  private boolean isRunning(JobOrder job) {
    return IntStream.range(0, job.steps().size())
        .boxed()
        .flatMap(number -> tasks(job, number).stream())
        .anyMatch(workers::runs);
  }

  private boolean isReady(JobOrder job, int number) {
    boolean ready =
        job.steps().get(number).after().stream()
            .flatMap(earlier -> tasks(job, earlier).stream())
            .allMatch(workers::hasSucceeded);
    return ready && !tasks(job, number).stream().allMatch(workers::hasSucceeded);
  }

  private boolean hasCapacity(JobOrder job, int number) {
    StepSpec step = job.steps().get(number);
    String name = job.id() + ".0." + number;
    int required = CAPACITY_FACTOR * (step.gang() ? step.tasks() : 1);
    int available = 0;
    for (var entry : workers.entries()) {
      if (approves.test(name, entry.id())) {
        available += workers.slots(entry.id(), step.demand());
      }
    }
    return available >= required;
  }

  private static List<String> tasks(JobOrder job, int number) {
    String step = job.id() + ".0." + number + ".";
    return IntStream.range(0, job.steps().get(number).tasks()).mapToObj(i -> step + i).toList();
  }
}

package org.masticspread.policy.health;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.WorkerId;

/**
 * Distinguishes jobs that fail on all workers from workers on which all jobs fail, by counting the
 * distinct workers per failed job and the distinct failed jobs per worker. Failures of parked jobs
 * do not count against workers, and failures on quarantined workers do not count against jobs.
 * Thread-safe.
 *
 * <pre>{@code
 * tracker.recordFailure(job, worker);
 * tracker.parkReason(job).ifPresent(reason -> ...);
 * ledger.setQuarantined(tracker.updateQuarantine(workers));
 * }</pre>
 */
public final class HealthTracker {
  /** The number of distinct workers on which a job must fail to be parked. */
  public static final int FAILED_WORKERS_TO_PARK = 3;

  /** The number of distinct jobs that must fail on a worker for it to be quarantined. */
  public static final int FAILED_JOBS_TO_QUARANTINE = 3;

  /** The maximum percentage of workers in quarantine; one worker is always allowed. */
  public static final int MAX_QUARANTINED_PERCENT = 10;

  private static final Duration INITIAL_QUARANTINE = Duration.ofMinutes(10);
  private static final int MAX_DOUBLINGS = 4;
  private static final int MAX_JOBS = 8192;

  private static final class WorkerHealth {
    private final Set<JobKey> failedJobs = new HashSet<>();
    private Instant quarantinedUntil = Instant.MIN;
    private boolean probation;
    private int quarantines;

    private boolean isQuarantined(Instant now) {
      return now.isBefore(quarantinedUntil);
    }
  }

  private final InstantSource clock;

  @GuardedBy("this")
  private final Map<WorkerId, WorkerHealth> workers = new HashMap<>();

  @GuardedBy("this")
  private final Map<JobKey, Set<WorkerId>> jobs =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<JobKey, Set<WorkerId>> eldest) {
          return size() > MAX_JOBS;
        }
      };

  @GuardedBy("this")
  private final Set<JobKey> parked = new HashSet<>();

  /**
   * Creates a tracker without recorded failures.
   *
   * @param clock the clock
   */
  public HealthTracker(InstantSource clock) {
    this.clock = clock;
  }

  /**
   * Records that a task of a job failed on a worker.
   *
   * @param job the job
   * @param worker the worker
   */
  public synchronized void recordFailure(JobKey job, WorkerId worker) {
    if (!parked.contains(job)) {
      workers.computeIfAbsent(worker, k -> new WorkerHealth()).failedJobs.add(job);
    }
    jobs.computeIfAbsent(job, k -> new HashSet<>()).add(worker);
    if (countFailedWorkers(job) >= FAILED_WORKERS_TO_PARK) {
      parked.add(job);
      workers.values().forEach(w -> w.failedJobs.remove(job));
    }
  }

  /**
   * Records that a task of a job succeeded on a worker, which clears the failures of both.
   *
   * @param job the job
   * @param worker the worker
   */
  public synchronized void recordSuccess(JobKey job, WorkerId worker) {
    release(job);
    WorkerHealth known = workers.get(worker);
    if (known != null && !known.isQuarantined(clock.instant())) {
      workers.remove(worker);
    }
  }

  /**
   * Releases a parked job and clears its failures.
   *
   * @param job the job
   */
  public synchronized void release(JobKey job) {
    jobs.remove(job);
    parked.remove(job);
  }

  @GuardedBy("this")
  private int countFailedWorkers(JobKey job) {
    Instant now = clock.instant();
    int count = 0;
    for (WorkerId worker : jobs.getOrDefault(job, Set.of())) {
      WorkerHealth known = workers.get(worker);
      if (known == null || !known.isQuarantined(now)) {
        count++;
      }
    }
    return count;
  }

  /**
   * Returns why a job is parked.
   *
   * @param job the job
   * @return the reason, a short sentence; empty if it is not parked
   */
  public synchronized Optional<String> parkReason(JobKey job) {
    if (!parked.contains(job)) {
      return Optional.empty();
    }
    List<WorkerId> failedOn = jobs.getOrDefault(job, Set.of()).stream().sorted().toList();
    return Optional.of("failed on " + failedOn.size() + " workers: " + failedOn);
  }

  /**
   * Updates and returns the set of quarantined workers, which get no new work.
   *
   * @param all all workers of the rack or pool
   * @return the quarantined workers, at most {@link #MAX_QUARANTINED_PERCENT} percent
   */
  public synchronized Set<WorkerId> updateQuarantine(Set<WorkerId> all) {
    Instant now = clock.instant();
    Map<WorkerId, WorkerHealth> known = new HashMap<>(workers);
    known.keySet().retainAll(all);
    known.values().forEach(w -> endQuarantineIfDue(w, now));
    int maxQuarantined = Math.max(1, all.size() * MAX_QUARANTINED_PERCENT / 100);
    long quarantined = known.values().stream().filter(w -> w.isQuarantined(now)).count();
    known.values().stream()
        .filter(w -> !w.isQuarantined(now) && shouldQuarantine(w))
        .sorted(Comparator.comparingInt((WorkerHealth w) -> w.failedJobs.size()).reversed())
        .limit(Math.max(0, maxQuarantined - quarantined))
        .forEach(w -> quarantine(w, now));
    known.values().removeIf(w -> !w.isQuarantined(now));
    return Set.copyOf(known.keySet());
  }

  private static boolean shouldQuarantine(WorkerHealth worker) {
    int threshold = worker.probation ? 1 : FAILED_JOBS_TO_QUARANTINE;
    return worker.failedJobs.size() >= threshold;
  }

  /** Starts probation if the quarantine has expired or if only parked jobs caused the failures. */
  private static void endQuarantineIfDue(WorkerHealth worker, Instant now) {
    boolean expired = worker.quarantines > 0 && !worker.isQuarantined(now) && !worker.probation;
    boolean cleared = worker.isQuarantined(now) && worker.failedJobs.isEmpty();
    if (expired || cleared) {
      worker.quarantinedUntil = Instant.MIN;
      worker.failedJobs.clear();
      worker.probation = true;
    }
  }

  private static void quarantine(WorkerHealth worker, Instant now) {
    long multiplier = 1L << Math.min(worker.quarantines, MAX_DOUBLINGS);
    worker.quarantines++;
    worker.probation = false;
    worker.quarantinedUntil = now.plus(INITIAL_QUARANTINE.multipliedBy(multiplier));
  }
}

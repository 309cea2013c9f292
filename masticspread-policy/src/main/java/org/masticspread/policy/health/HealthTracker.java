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
 * Tells jobs that fail everywhere from workers that fail everything, by counting distinct workers
 * per job and distinct jobs per worker. Failures of parked jobs do not count against workers, and
 * failures on workers that are put aside do not count against jobs. Thread-safe.
 *
 * <pre>{@code
 * tracker.recordFailure(job, worker);
 * tracker.parkReason(job).ifPresent(reason -> ...);
 * ledger.setQuarantined(tracker.updateQuarantine(workers));
 * }</pre>
 */
public final class HealthTracker {
  /** On how many distinct workers a job fails before it is parked. */
  public static final int WORKERS_PER_JOB = 3;

  /** How many distinct jobs fail on a worker before it is put aside. */
  public static final int JOBS_PER_WORKER = 3;

  /** The greatest part of the workers that is put aside, in percent; at least one worker may be. */
  public static final int MAX_QUARANTINED_PERCENT = 10;

  private static final Duration FIRST_ASIDE = Duration.ofMinutes(10);
  private static final int MAX_DOUBLINGS = 4;
  private static final int MAX_JOBS = 8192;

  private static final class WorkerRecord {
    private final Set<JobKey> failedJobs = new HashSet<>();
    private Instant asideUntil = Instant.MIN;
    private boolean probation;
    private int times;

    private boolean isAside(Instant now) {
      return now.isBefore(asideUntil);
    }
  }

  private final InstantSource clock;

  @GuardedBy("this")
  private final Map<WorkerId, WorkerRecord> workers = new HashMap<>();

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
   * Creates a tracker that knows of no failure.
   *
   * @param clock tells the time
   */
  public HealthTracker(InstantSource clock) {
    this.clock = clock;
  }

  /**
   * Takes in that a task of a job failed on a worker.
   *
   * @param job the job
   * @param worker the worker
   */
  public synchronized void recordFailure(JobKey job, WorkerId worker) {
    if (!parked.contains(job)) {
      workers.computeIfAbsent(worker, k -> new WorkerRecord()).failedJobs.add(job);
    }
    jobs.computeIfAbsent(job, k -> new HashSet<>()).add(worker);
    if (countingWorkers(job) >= WORKERS_PER_JOB) {
      parked.add(job);
      workers.values().forEach(w -> w.failedJobs.remove(job));
    }
  }

  /**
   * Takes in that a task of a job ended well on a worker, which clears both.
   *
   * @param job the job
   * @param worker the worker
   */
  public synchronized void recordSuccess(JobKey job, WorkerId worker) {
    release(job);
    WorkerRecord known = workers.get(worker);
    if (known != null && !known.isAside(clock.instant())) {
      workers.remove(worker);
    }
  }

  /**
   * Lets a parked job run again, with all its failures forgotten.
   *
   * @param job the job
   */
  public synchronized void release(JobKey job) {
    jobs.remove(job);
    parked.remove(job);
  }

  @GuardedBy("this")
  private int countingWorkers(JobKey job) {
    Instant now = clock.instant();
    int counting = 0;
    for (WorkerId worker : jobs.getOrDefault(job, Set.of())) {
      WorkerRecord known = workers.get(worker);
      if (known == null || !known.isAside(now)) {
        counting++;
      }
    }
    return counting;
  }

  /**
   * Tells whether a job is parked.
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
   * Decides which workers get nothing new.
   *
   * @param all all workers of the rack or pool
   * @return those put aside, at most a bounded part
   */
  public synchronized Set<WorkerId> updateQuarantine(Set<WorkerId> all) {
    Instant now = clock.instant();
    Map<WorkerId, WorkerRecord> known = new HashMap<>(workers);
    known.keySet().retainAll(all);
    known.values().forEach(w -> endAside(w, now));
    int bound = Math.max(1, all.size() * MAX_QUARANTINED_PERCENT / 100);
    long already = known.values().stream().filter(w -> w.isAside(now)).count();
    known.values().stream()
        .filter(w -> !w.isAside(now) && isSuspect(w))
        .sorted(Comparator.comparingInt((WorkerRecord w) -> w.failedJobs.size()).reversed())
        .limit(Math.max(0, bound - already))
        .forEach(w -> setQuarantined(w, now));
    known.values().removeIf(w -> !w.isAside(now));
    return Set.copyOf(known.keySet());
  }

  private static boolean isSuspect(WorkerRecord worker) {
    int threshold = worker.probation ? 1 : JOBS_PER_WORKER;
    return worker.failedJobs.size() >= threshold;
  }

  /** Ends the time aside, early when parked jobs turn out to have caused the failures. */
  private static void endAside(WorkerRecord worker, Instant now) {
    boolean over = worker.times > 0 && !worker.isAside(now) && !worker.probation;
    boolean cleared = worker.isAside(now) && worker.failedJobs.isEmpty();
    if (over || cleared) {
      worker.asideUntil = Instant.MIN;
      worker.failedJobs.clear();
      worker.probation = true;
    }
  }

  private static void setQuarantined(WorkerRecord worker, Instant now) {
    long factor = 1L << Math.min(worker.times, MAX_DOUBLINGS);
    worker.times++;
    worker.probation = false;
    worker.asideUntil = now.plus(FIRST_ASIDE.multipliedBy(factor));
  }
}

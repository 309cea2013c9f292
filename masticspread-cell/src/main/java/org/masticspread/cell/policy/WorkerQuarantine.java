package org.masticspread.cell.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A quarantine for faulty workers: a worker is quarantined when tasks of several jobs fail on it
 * without a success in between, which distinguishes it from a job that fails on every worker.
 */
public final class WorkerQuarantine {
  /**
   * Number of failing jobs in a row; single failures are common, and each one costs a job an
   * attempt.
   */
  private static final int JOBS_TO_QUARANTINE = 2;

  /** Duration of the first quarantine; short, since two jobs in a row may fail on any worker. */
  private static final Duration INITIAL_DURATION = Duration.ofSeconds(3);

  /** Maximum duration of a quarantine; faults of workers last some seconds. */
  private static final Duration MAX_DURATION = Duration.ofSeconds(12);

  private final Map<String, WorkerState> states = new HashMap<>();

  /**
   * Records that a task failed, made no progress, or was refused by an unhealthy worker.
   *
   * @param worker the worker
   * @param job the job of the task
   * @param nowMillis the current time
   * @return whether this failure puts the worker into quarantine
   */
  public boolean recordFailure(String worker, String job, long nowMillis) {
    WorkerState state = states.computeIfAbsent(worker, id -> new WorkerState());
    state.jobs.add(job);
    if (state.jobs.size() < JOBS_TO_QUARANTINE && !state.onProbation) {
      return false;
    }
    if (nowMillis < state.quarantinedUntilMillis) {
      return false;
    }
    quarantine(state, nowMillis);
    return true;
  }

  /**
   * Quarantines a worker at once.
   *
   * @param worker the worker
   * @param nowMillis the current time
   */
  public void quarantine(String worker, long nowMillis) {
    quarantine(states.computeIfAbsent(worker, id -> new WorkerState()), nowMillis);
  }

  private static void quarantine(WorkerState state, long nowMillis) {
    Duration duration = state.duration == null ? INITIAL_DURATION : state.duration.multipliedBy(2);
    state.duration = duration.compareTo(MAX_DURATION) > 0 ? MAX_DURATION : duration;
    state.quarantinedUntilMillis = nowMillis + state.duration.toMillis();
    state.jobs.clear();
    state.onProbation = true;
  }

  /**
   * Records that a task succeeded.
   *
   * @param worker the worker
   */
  public void recordSuccess(String worker) {
    states.remove(worker);
  }

  /**
   * Returns whether a worker may get tasks.
   *
   * @param worker the worker
   * @param nowMillis the current time
   * @return false while the worker is in quarantine
   */
  public boolean usable(String worker, long nowMillis) {
    WorkerState state = states.get(worker);
    return state == null || nowMillis >= state.quarantinedUntilMillis;
  }

  /**
   * Returns whether a worker was quarantined and has not succeeded since. It then gets a further
   * task only when its running tasks make progress.
   *
   * @param worker the worker
   * @return whether the worker is on probation
   */
  public boolean onProbation(String worker) {
    WorkerState state = states.get(worker);
    return state != null && state.onProbation;
  }

  private static final class WorkerState {
    private final Set<String> jobs = new HashSet<>();
    private long quarantinedUntilMillis;
    private Duration duration;
    private boolean onProbation;
  }
}

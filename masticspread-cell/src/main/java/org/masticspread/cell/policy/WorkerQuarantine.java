package org.masticspread.cell.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tells workers that fail what they start from jobs that can never be done: a worker is put aside
 * when tasks of several jobs fail on it and none succeeds in between.
 */
public final class WorkerQuarantine {
  /** Two jobs in a row: single failures are common, and each one costs a job an attempt. */
  private static final int JOBS_TO_PUT_ASIDE = 2;

  /** The first time aside: short, since two hopeless jobs in a row are possible. */
  private static final Duration FIRST_PAUSE = Duration.ofSeconds(3);

  /** The longest time aside: troubles last some seconds. */
  private static final Duration LONGEST_PAUSE = Duration.ofSeconds(12);

  private final Map<String, Record> records = new HashMap<>();

  /**
   * Notes that a task failed, was refused by a worker in trouble, or stood still.
   *
   * @param worker the worker
   * @param job its job
   * @param nowMillis the moment
   * @return whether the worker is put aside by this
   */
  public boolean recordFailure(String worker, String job, long nowMillis) {
    Record record = records.computeIfAbsent(worker, id -> new Record());
    record.jobs.add(job);
    if (record.jobs.size() < JOBS_TO_PUT_ASIDE && !record.onProbation) {
      return false;
    }
    if (nowMillis < record.asideUntilMillis) {
      return false;
    }
    quarantine(record, nowMillis);
    return true;
  }

  /**
   * Puts a worker aside at once.
   *
   * @param worker the worker
   * @param nowMillis the moment
   */
  public void quarantine(String worker, long nowMillis) {
    quarantine(records.computeIfAbsent(worker, id -> new Record()), nowMillis);
  }

  private static void quarantine(Record record, long nowMillis) {
    Duration pause = record.pause == null ? FIRST_PAUSE : record.pause.multipliedBy(2);
    record.pause = pause.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause;
    record.asideUntilMillis = nowMillis + record.pause.toMillis();
    record.jobs.clear();
    record.onProbation = true;
  }

  /**
   * Notes that a task succeeded.
   *
   * @param worker the worker
   */
  public void recordSuccess(String worker) {
    records.remove(worker);
  }

  /**
   * Tells whether a worker may get a task.
   *
   * @param worker the worker
   * @param nowMillis the moment
   * @return false while it is put aside
   */
  public boolean usable(String worker, long nowMillis) {
    Record record = records.get(worker);
    return record == null || nowMillis >= record.asideUntilMillis;
  }

  /**
   * Tells whether a worker was put aside and has not succeeded since: it gets a further task only
   * when those that it has make progress.
   *
   * @param worker the worker
   * @return whether it is on probation
   */
  public boolean onProbation(String worker) {
    Record record = records.get(worker);
    return record != null && record.onProbation;
  }

  private static final class Record {
    private final Set<String> jobs = new HashSet<>();
    private long asideUntilMillis;
    private Duration pause;
    private boolean onProbation;
  }
}

package org.masticspread.policy.estimate;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.platform.WorkerTaskPhase;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobSpec;

/**
 * Estimates sizes and run times of tasks. Corrects the declared values by the measured usage of
 * tasks of the same job or, without enough samples, of the same work class. Thread-safe.
 *
 * <pre>{@code
 * estimates.observe(spec, workerTask);
 * ResourceVector size = estimates.size(spec, largestWorker);
 * }</pre>
 */
public final class Estimates {
  private static final int MIN_SAMPLES = 5;
  private static final int CORES_PERCENTILE = 90;
  private static final int MEMORY_PERCENTILE = 95;
  private static final int RUN_TIME_PERCENTILE = 90;
  private static final double MEMORY_HEADROOM = 1.1;
  private static final double MAX_CORRECTION_FACTOR = 16;
  private static final int MAX_WINDOWS = 4096;
  private static final int MAX_PEAKS = 65_536;
  private static final Duration MIN_RUN_TIME_TO_COUNT = Duration.ofMinutes(1);

  private record SampleWindows(SampleWindow cores, SampleWindow memory, SampleWindow runTime) {}

  private record Peak(ResourceVector usage, boolean counted) {}

  private final Map<ClassKey, SampleWindows> classes = boundedLruMap(MAX_WINDOWS);
  private final Map<JobKey, SampleWindows> jobs = boundedLruMap(MAX_WINDOWS);
  private final Map<TaskAttempt, Peak> peaks = boundedLruMap(MAX_PEAKS);

  private static <K, V> Map<K, V> boundedLruMap(int limit) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > limit;
      }
    };
  }

  /**
   * Records a report of a task. Its peak usage counts once it has ended or has run for a minute,
   * and its run time counts once it has succeeded.
   *
   * @param spec the job
   * @param task the report
   */
  public synchronized void observe(JobSpec spec, WorkerTask task) {
    TaskAttempt attempt = new TaskAttempt(task.task(), task.attempt());
    Peak previous = peaks.getOrDefault(attempt, new Peak(ResourceVector.ZERO, false));
    ResourceVector usage = peak(previous.usage(), task.usage());
    boolean running = task.phase() == WorkerTaskPhase.RUNNING;
    boolean countable = !running || task.ranFor().compareTo(MIN_RUN_TIME_TO_COUNT) >= 0;
    boolean grown = !usage.equals(previous.usage());
    boolean measured = !usage.equals(ResourceVector.ZERO);
    boolean shouldCount = countable && measured && (grown || !previous.counted());
    if (shouldCount) {
      addUsage(spec, usage);
    }
    if (task.phase() == WorkerTaskPhase.SUCCEEDED) {
      addRunTime(spec, task.ranFor());
    }
    if (running) {
      peaks.put(attempt, new Peak(usage, previous.counted() || shouldCount));
    } else {
      peaks.remove(attempt);
    }
  }

  private static ResourceVector peak(ResourceVector left, ResourceVector right) {
    return new ResourceVector(
        Math.max(left.millicores(), right.millicores()),
        Math.max(left.memoryBytes(), right.memoryBytes()),
        0);
  }

  private void addUsage(JobSpec spec, ResourceVector usage) {
    ResourceVector declared = spec.perTask();
    for (SampleWindows windows : windows(spec)) {
      windows.cores().add(declared.millicores(), usage.millicores());
      windows.memory().add(declared.memoryBytes(), usage.memoryBytes());
    }
  }

  private void addRunTime(JobSpec spec, Duration ranFor) {
    for (SampleWindows windows : windows(spec)) {
      windows.runTime().add(spec.declaredRunTime().toMillis(), ranFor.toMillis());
    }
  }

  private SampleWindows[] windows(JobSpec spec) {
    SampleWindows ofClass = classes.computeIfAbsent(spec.classKey(), k -> newWindows());
    SampleWindows ofJob = jobs.computeIfAbsent(spec.key(), k -> newWindows());
    return new SampleWindows[] {ofClass, ofJob};
  }

  private static SampleWindows newWindows() {
    return new SampleWindows(new SampleWindow(), new SampleWindow(), new SampleWindow());
  }

  /**
   * Estimates the size of a task. The number of accelerators is always the declared one.
   *
   * @param spec the job
   * @param limit the size of the largest worker; estimates exceed it only if the declared size does
   * @return the estimated size
   */
  public synchronized ResourceVector size(JobSpec spec, ResourceVector limit) {
    ResourceVector declared = spec.perTask();
    SampleWindows windows = sufficientWindows(spec);
    if (windows == null) {
      return declared;
    }
    double cores = predict(windows.cores(), declared.millicores(), CORES_PERCENTILE);
    double memory = predict(windows.memory(), declared.memoryBytes(), MEMORY_PERCENTILE);
    return new ResourceVector(
        clamp(cores, declared.millicores(), limit.millicores()),
        clamp(memory * MEMORY_HEADROOM, declared.memoryBytes(), limit.memoryBytes()),
        declared.accelerators());
  }

  private SampleWindows sufficientWindows(JobSpec spec) {
    SampleWindows ofJob = jobs.get(spec.key());
    if (ofJob != null && ofJob.memory().count() >= MIN_SAMPLES) {
      return ofJob;
    }
    SampleWindows ofClass = classes.get(spec.classKey());
    return ofClass != null && ofClass.memory().count() >= MIN_SAMPLES ? ofClass : null;
  }

  private static double predict(SampleWindow window, double declared, int percentile) {
    double predicted = window.predict(declared, percentile);
    if (declared <= 0) {
      return predicted;
    }
    return Math.max(
        declared / MAX_CORRECTION_FACTOR, Math.min(declared * MAX_CORRECTION_FACTOR, predicted));
  }

  private static long clamp(double estimate, long declared, long limit) {
    long upperBound = Math.max(declared, limit);
    return Math.max(1, Math.min(upperBound, (long) Math.ceil(estimate)));
  }

  /**
   * Estimates the run time of a task.
   *
   * @param spec the job
   * @return the estimated run time; the declared one until enough tasks have succeeded
   */
  public synchronized Duration runTime(JobSpec spec) {
    SampleWindows ofJob = jobs.get(spec.key());
    SampleWindows ofClass = classes.get(spec.classKey());
    SampleWindows windows =
        ofJob != null && ofJob.runTime().count() >= MIN_SAMPLES ? ofJob : ofClass;
    if (windows == null || windows.runTime().count() < MIN_SAMPLES) {
      return spec.declaredRunTime();
    }
    long declared = spec.declaredRunTime().toMillis();
    return Duration.ofMillis((long) predict(windows.runTime(), declared, RUN_TIME_PERCENTILE));
  }
}

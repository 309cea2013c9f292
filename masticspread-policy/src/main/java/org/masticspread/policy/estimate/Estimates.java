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
 * Sizes and run times of tasks, corrected by what tasks of the same job, or else of the same work
 * class, were seen to use. Thread-safe.
 *
 * <pre>{@code
 * estimates.observe(spec, workerTask);
 * ResourceVector size = estimates.size(spec, largestWorker);
 * }</pre>
 */
public final class Estimates {
  private static final int MIN_SAMPLES = 5;
  private static final int CORES_PERCENT = 90;
  private static final int MEMORY_PERCENT = 95;
  private static final int RUN_TIME_PERCENT = 90;
  private static final double MEMORY_HEADROOM = 1.1;
  private static final double MAX_FACTOR = 16;
  private static final int MAX_WINDOWS = 4096;
  private static final int MAX_PEAKS = 65_536;
  private static final Duration SETTLED = Duration.ofMinutes(1);

  private record Windows(SampleWindow cores, SampleWindow memory, SampleWindow runTime) {}

  private record Peak(ResourceVector usage, boolean counted) {}

  private final Map<ClassKey, Windows> classes = bounded(MAX_WINDOWS);
  private final Map<JobKey, Windows> jobs = bounded(MAX_WINDOWS);
  private final Map<TaskAttempt, Peak> peaks = bounded(MAX_PEAKS);

  private static <K, V> Map<K, V> bounded(int limit) {
    return new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > limit;
      }
    };
  }

  /**
   * Takes in a report of a task. Counts the peak of its usage once it has ended, or once it has run
   * for a minute, and its run time when it has ended well.
   *
   * @param spec the job
   * @param task the report
   */
  public synchronized void observe(JobSpec spec, WorkerTask task) {
    TaskAttempt attempt = new TaskAttempt(task.task(), task.attempt());
    Peak known = peaks.getOrDefault(attempt, new Peak(ResourceVector.ZERO, false));
    ResourceVector usage = peak(known.usage(), task.usage());
    boolean running = task.phase() == WorkerTaskPhase.RUNNING;
    boolean settled = !running || task.ranFor().compareTo(SETTLED) >= 0;
    boolean grown = !usage.equals(known.usage());
    boolean measured = !usage.equals(ResourceVector.ZERO);
    boolean counts = settled && measured && (grown || !known.counted());
    if (counts) {
      count(spec, usage);
    }
    if (task.phase() == WorkerTaskPhase.SUCCEEDED) {
      countRunTime(spec, task.ranFor());
    }
    if (running) {
      peaks.put(attempt, new Peak(usage, known.counted() || counts));
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

  private void count(JobSpec spec, ResourceVector usage) {
    ResourceVector declared = spec.perTask();
    for (Windows windows : windows(spec)) {
      windows.cores().add(declared.millicores(), usage.millicores());
      windows.memory().add(declared.memoryBytes(), usage.memoryBytes());
    }
  }

  private void countRunTime(JobSpec spec, Duration ranFor) {
    for (Windows windows : windows(spec)) {
      windows.runTime().add(spec.declaredRunTime().toMillis(), ranFor.toMillis());
    }
  }

  private Windows[] windows(JobSpec spec) {
    Windows ofClass = classes.computeIfAbsent(spec.classKey(), k -> newWindows());
    Windows ofJob = jobs.computeIfAbsent(spec.key(), k -> newWindows());
    return new Windows[] {ofClass, ofJob};
  }

  private static Windows newWindows() {
    return new Windows(new SampleWindow(), new SampleWindow(), new SampleWindow());
  }

  /**
   * Estimates the size of a task. Accelerators are as declared.
   *
   * @param spec the job
   * @param limit the largest worker; an estimate exceeds it only where the declared size does
   * @return the size
   */
  public synchronized ResourceVector size(JobSpec spec, ResourceVector limit) {
    ResourceVector declared = spec.perTask();
    Windows windows = learned(spec);
    if (windows == null) {
      return declared;
    }
    double cores = predict(windows.cores(), declared.millicores(), CORES_PERCENT);
    double memory = predict(windows.memory(), declared.memoryBytes(), MEMORY_PERCENT);
    return new ResourceVector(
        clamp(cores, declared.millicores(), limit.millicores()),
        clamp(memory * MEMORY_HEADROOM, declared.memoryBytes(), limit.memoryBytes()),
        declared.accelerators());
  }

  private Windows learned(JobSpec spec) {
    Windows ofJob = jobs.get(spec.key());
    if (ofJob != null && ofJob.memory().count() >= MIN_SAMPLES) {
      return ofJob;
    }
    Windows ofClass = classes.get(spec.classKey());
    return ofClass != null && ofClass.memory().count() >= MIN_SAMPLES ? ofClass : null;
  }

  private static double predict(SampleWindow window, double declared, int percent) {
    double predicted = window.predict(declared, percent);
    if (declared <= 0) {
      return predicted;
    }
    return Math.max(declared / MAX_FACTOR, Math.min(declared * MAX_FACTOR, predicted));
  }

  private static long clamp(double estimate, long declared, long limit) {
    long ceiling = Math.max(declared, limit);
    return Math.max(1, Math.min(ceiling, (long) Math.ceil(estimate)));
  }

  /**
   * Estimates the run time of a task.
   *
   * @param spec the job
   * @return the run time; the declared one until enough tasks have ended
   */
  public synchronized Duration runTime(JobSpec spec) {
    Windows ofJob = jobs.get(spec.key());
    Windows ofClass = classes.get(spec.classKey());
    Windows windows = ofJob != null && ofJob.runTime().count() >= MIN_SAMPLES ? ofJob : ofClass;
    if (windows == null || windows.runTime().count() < MIN_SAMPLES) {
      return spec.declaredRunTime();
    }
    long declared = spec.declaredRunTime().toMillis();
    return Duration.ofMillis((long) predict(windows.runTime(), declared, RUN_TIME_PERCENT));
  }
}

package org.masticspread.ctl.measure.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.concurrent.Callable;

/** Measures heap and processor time of a step; the median of several repeats. */
final class Meters {
  private static final int REPEATS = 5;
  private static final double WARM_UP_MICROS = 300_000;

  /** Only each fourth collection of the serial collector gives all dead objects back. */
  private static final int COLLECTIONS = 4;

  private static final double NANOS_PER_MICRO = 1e3;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private Meters() {}

  /** Returns the bytes that stay reachable through what a step makes. */
  static double heapBytes(Callable<?> step) throws Exception {
    double[] bytes = new double[REPEATS];
    for (int i = 0; i < REPEATS; i++) {
      bytes[i] = grown(step);
    }
    return median(bytes);
  }

  private static long grown(Callable<?> step) throws Exception {
    long before = used();
    Object made = step.call();
    long bytes = used() - before;
    Reference.reachabilityFence(made);
    return bytes;
  }

  private static long used() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Returns the processor time of this thread in a step, in microseconds, once it is warm. */
  static double micros(Callable<?> step) throws Exception {
    double warmUp = 0;
    while (warmUp < WARM_UP_MICROS) {
      warmUp += Math.max(1, once(step));
    }
    double[] micros = new double[REPEATS];
    for (int i = 0; i < REPEATS; i++) {
      micros[i] = once(step);
    }
    return median(micros);
  }

  private static double once(Callable<?> step) throws Exception {
    long before = THREADS.getCurrentThreadCpuTime();
    Object made = step.call();
    long after = THREADS.getCurrentThreadCpuTime();
    Reference.reachabilityFence(made);
    return (after - before) / NANOS_PER_MICRO;
  }

  private static double median(double[] values) {
    Arrays.sort(values);
    return values[values.length / 2];
  }
}

package org.masticspread.ctl.measure.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.lang.ref.Reference;
import java.util.Arrays;
import java.util.concurrent.Callable;

/** Measures the heap and CPU time of a step as the median of several repetitions. */
final class Meters {
  private static final int REPEATS = 5;
  private static final double WARM_UP_MICROS = 300_000;

  /** The serial collector frees all dead objects only in every fourth collection. */
  private static final int COLLECTIONS = 4;

  private static final double NANOS_PER_MICRO = 1e3;
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  private Meters() {}

  /** Returns the bytes that remain reachable through the result of a step. */
  static double heapBytes(Callable<?> step) throws Exception {
    double[] bytes = new double[REPEATS];
    for (int i = 0; i < REPEATS; i++) {
      bytes[i] = heapGrowth(step);
    }
    return median(bytes);
  }

  private static long heapGrowth(Callable<?> step) throws Exception {
    long before = usedHeap();
    Object result = step.call();
    long bytes = usedHeap() - before;
    Reference.reachabilityFence(result);
    return bytes;
  }

  private static long usedHeap() {
    Runtime runtime = Runtime.getRuntime();
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Returns the CPU time of this thread for a step after a warm-up, in microseconds. */
  static double micros(Callable<?> step) throws Exception {
    double warmUp = 0;
    while (warmUp < WARM_UP_MICROS) {
      warmUp += Math.max(1, cpuMicros(step));
    }
    double[] micros = new double[REPEATS];
    for (int i = 0; i < REPEATS; i++) {
      micros[i] = cpuMicros(step);
    }
    return median(micros);
  }

  private static double cpuMicros(Callable<?> step) throws Exception {
    long before = THREADS.getCurrentThreadCpuTime();
    Object result = step.call();
    long after = THREADS.getCurrentThreadCpuTime();
    Reference.reachabilityFence(result);
    return (after - before) / NANOS_PER_MICRO;
  }

  private static double median(double[] values) {
    Arrays.sort(values);
    return values[values.length / 2];
  }
}

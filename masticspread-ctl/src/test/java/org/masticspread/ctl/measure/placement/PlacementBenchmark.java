package org.masticspread.ctl.measure.placement;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.masticspread.model.id.WorkerId;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** A benchmark of ending and placing a task with 550 workers and 16,000 running tasks. */
@State(Scope.Thread)
@BenchmarkMode({Mode.Throughput, Mode.SampleTime})
@OutputTimeUnit(TimeUnit.MILLISECONDS)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 3, time = 2)
@Fork(1)
public class PlacementBenchmark {
  private final LedgerLoad load = new LedgerLoad(1);

  /**
   * Ends a task and places another one.
   *
   * @return the worker
   */
  @Benchmark
  public Optional<WorkerId> endAndPlace() {
    load.end();
    load.arrive();
    return load.place();
  }

  /**
   * Runs the benchmark.
   *
   * @param args none
   * @throws RunnerException if it fails
   */
  public static void main(String[] args) throws RunnerException {
    String name = PlacementBenchmark.class.getSimpleName();
    new Runner(new OptionsBuilder().include(name).build()).run();
  }
}

package org.masticspread.policy.request;

import java.util.concurrent.TimeUnit;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.work.Urgency;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** Measures one routing decision with 30 endpoints whose slots are mostly occupied. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 2)
@Measurement(iterations = 3, time = 2)
@Fork(1)
public class RouteBenchmark {
  private static final int OCCUPIED_SLOTS = 200;

  private RequestFixture fixture;

  /** Occupies most of the slots. */
  @Setup
  public void fill() {
    fixture = RequestFixture.of(30, 8);
    for (int i = 0; i < OCCUPIED_SLOTS; i++) {
      fixture.offer("b", Urgency.DEFERRABLE);
    }
    fixture.dispatchAll();
  }

  /**
   * Offers, dispatches and finishes one request.
   *
   * @return the result of the dispatch
   */
  @Benchmark
  public Object route() {
    fixture.offer("a", Urgency.URGENT);
    Dispatch dispatch = fixture.scheduler.next().orElseThrow();
    return fixture.finish(dispatch, EndpointOutcome.ANSWERED);
  }

  /**
   * Runs the benchmark.
   *
   * @param args ignored
   * @throws RunnerException if it fails
   */
  public static void main(String[] args) throws RunnerException {
    new Runner(new OptionsBuilder().include(RouteBenchmark.class.getSimpleName()).build()).run();
  }
}

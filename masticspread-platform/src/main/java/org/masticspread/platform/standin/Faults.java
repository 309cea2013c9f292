package org.masticspread.platform.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Script of the faults of stand-ins, by call count, time window or probability.
 *
 * <p>Example: {@code faults.on("table.commit").skip(2).times(1).answerLost()} loses the answer of
 * the third commit; {@code faults.on("table").between(from, to).down()} is an outage. The name of a
 * call consists of stand-in, method and, after a slash, its target: {@code worker.start/worker-1}.
 * The first matching rule applies. Thread-safe.
 */
public final class Faults {
  private final InstantSource clock;
  private final Pause pause;
  private final UniformRandomProvider random;
  private final List<FaultRule> rules = new ArrayList<>();

  private Faults(InstantSource clock, Pause pause, long seed) {
    this.clock = clock;
    this.pause = pause;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /**
   * Returns an empty script in real time.
   *
   * @return the script
   */
  public static Faults none() {
    return new Faults(InstantSource.system(), Pause.REAL, 0);
  }

  /**
   * Returns an empty script.
   *
   * @param clock the clock of the time windows
   * @param pause the wait of slow and silent calls
   * @param seed the seed of the random faults
   * @return the script
   */
  public static Faults seeded(InstantSource clock, Pause pause, long seed) {
    return new Faults(clock, pause, seed);
  }

  /**
   * Starts a rule.
   *
   * @param callPrefix the prefix of the names of matching calls
   * @return the rule, which takes effect once its fault is set
   */
  public FaultRule on(String callPrefix) {
    return where(call -> call.startsWith(callPrefix));
  }

  /**
   * Starts a rule.
   *
   * @param calls selects matching calls by name
   * @return the rule, which takes effect once its fault is set
   */
  public FaultRule where(Predicate<String> calls) {
    return new FaultRule(this, calls);
  }

  /** Removes all rules. */
  public synchronized void clear() {
    rules.clear();
  }

  /**
   * Counts a call and returns the fault to inject into it.
   *
   * @param call the name of the call
   * @return the fault, or empty
   */
  public synchronized Optional<Fault> next(String call) {
    Instant now = clock.instant();
    Fault fault = null;
    for (FaultRule rule : rules) {
      boolean matched = rule.matches(call, now, random);
      fault = matched && fault == null ? rule.fault() : fault;
    }
    return Optional.ofNullable(fault);
  }

  synchronized void add(FaultRule rule) {
    rules.add(rule);
  }

  void pause(Duration time) {
    pause.pause(time);
  }
}

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
 * Scripts the faults of stand-ins by call count, by time window or by chance.
 *
 * <p>Example: {@code faults.on("table.commit").skip(2).times(1).answerLost()} loses the answer of
 * the third commit; {@code faults.on("table").between(from, to).down()} is an outage. A call is
 * named by stand-in, method and, after a slash, its target: {@code worker.start/worker-1}. The
 * first rule that applies wins. Thread-safe.
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
   * Returns a script in real time, without a rule yet.
   *
   * @return the script
   */
  public static Faults none() {
    return new Faults(InstantSource.system(), Pause.REAL, 0);
  }

  /**
   * Returns a script, without a rule yet.
   *
   * @param clock the clock for time windows
   * @param pause lets slow and silent calls wait
   * @param seed the seed of chances
   * @return the script
   */
  public static Faults seeded(InstantSource clock, Pause pause, long seed) {
    return new Faults(clock, pause, seed);
  }

  /**
   * Starts a rule.
   *
   * @param callPrefix the beginning of the names of the calls that it meets
   * @return the rule, which stands once its fault is named
   */
  public FaultRule on(String callPrefix) {
    return where(call -> call.startsWith(callPrefix));
  }

  /**
   * Starts a rule.
   *
   * @param calls tells by their name the calls that it meets
   * @return the rule, which stands once its fault is named
   */
  public FaultRule where(Predicate<String> calls) {
    return new FaultRule(this, calls);
  }

  /** Drops all rules. */
  public synchronized void clear() {
    rules.clear();
  }

  /**
   * Returns the fault that a call meets, and counts the call.
   *
   * @param call the name of the call
   * @return the fault, or empty
   */
  public synchronized Optional<Fault> next(String call) {
    Instant now = clock.instant();
    Fault met = null;
    for (FaultRule rule : rules) {
      boolean hit = rule.meets(call, now, random);
      met = hit && met == null ? rule.fault() : met;
    }
    return Optional.ofNullable(met);
  }

  synchronized void add(FaultRule rule) {
    rules.add(rule);
  }

  void pause(Duration time) {
    pause.pause(time);
  }
}

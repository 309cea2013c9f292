package org.masticspread.platform.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A rule of {@link Faults} that selects the calls into which a fault is injected. It takes effect
 * once a method has set its fault.
 */
public final class FaultRule {
  private final Faults faults;
  private final Predicate<String> calls;
  private long skip;
  private long times = Long.MAX_VALUE;
  private Instant from = Instant.MIN;
  private Instant to = Instant.MAX;
  private double probability = 1;
  private long seenCalls;
  private Fault fault;

  FaultRule(Faults faults, Predicate<String> calls) {
    this.faults = faults;
    this.calls = calls;
  }

  /**
   * Exempts the first matching calls.
   *
   * @param count the number of calls
   * @return this rule
   */
  public FaultRule skip(long count) {
    this.skip = count;
    return this;
  }

  /**
   * Limits the number of faulty calls.
   *
   * @param count the maximum number of calls
   * @return this rule
   */
  public FaultRule times(long count) {
    this.times = count;
    return this;
  }

  /**
   * Limits the rule to a time window.
   *
   * @param start the start of the window, inclusive
   * @param end the end of the window, exclusive
   * @return this rule
   */
  public FaultRule between(Instant start, Instant end) {
    this.from = start;
    this.to = end;
    return this;
  }

  /**
   * Injects the fault at random.
   *
   * @param share the probability per call, from 0 to 1
   * @return this rule
   */
  public FaultRule withChance(double share) {
    this.probability = share;
    return this;
  }

  /** Makes the calls fail to connect. */
  public void down() {
    activate(FaultKind.DOWN, Duration.ZERO);
  }

  /**
   * Delays the calls.
   *
   * @param time the delay
   */
  public void slow(Duration time) {
    activate(FaultKind.SLOW, time);
  }

  /** Makes the calls fail without effect, which the caller cannot know. */
  public void errorBeforeEffect() {
    activate(FaultKind.ERROR_BEFORE_EFFECT, Duration.ZERO);
  }

  /** Lets the calls take effect and loses their answers. */
  public void answerLost() {
    activate(FaultKind.ANSWER_LOST, Duration.ZERO);
  }

  /**
   * Makes the calls return a list of an earlier time.
   *
   * @param age the age of the list
   */
  public void stale(Duration age) {
    activate(FaultKind.STALE, age);
  }

  /** Makes the calls take effect twice. */
  public void duplicate() {
    activate(FaultKind.DUPLICATE, Duration.ZERO);
  }

  /** Makes the calls take effect after the next call of the same stand-in. */
  public void reordered() {
    activate(FaultKind.REORDERED, Duration.ZERO);
  }

  /** Lets the calls take effect and truncates their answers to half. */
  public void cut() {
    activate(FaultKind.CUT, Duration.ZERO);
  }

  /** Lets the calls take effect and sends answers with the id of another call. */
  public void foreign() {
    activate(FaultKind.FOREIGN, Duration.ZERO);
  }

  /**
   * Makes the calls receive no answer and have no effect.
   *
   * @param time the time after which a blocking caller gives up
   */
  public void silent(Duration time) {
    activate(FaultKind.SILENT, time);
  }

  private void activate(FaultKind kind, Duration time) {
    fault = new Fault(kind, time);
    faults.add(this);
  }

  Fault fault() {
    return fault;
  }

  /**
   * Counts a call within the window of this rule, and returns whether the fault applies to it. Must
   * be called with the lock of the script held.
   */
  boolean matches(String call, Instant now, UniformRandomProvider random) {
    if (!calls.test(call) || now.isBefore(from) || !now.isBefore(to)) {
      return false;
    }
    seenCalls++;
    if (seenCalls <= skip || seenCalls - skip > times) {
      return false;
    }
    return probability >= 1 || random.nextDouble() < probability;
  }
}

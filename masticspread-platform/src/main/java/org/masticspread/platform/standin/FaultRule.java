package org.masticspread.platform.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;

/** A rule of {@link Faults}: which calls meet a fault. It stands once its fault is named. */
public final class FaultRule {
  private final Faults faults;
  private final Predicate<String> calls;
  private long skip;
  private long times = Long.MAX_VALUE;
  private Instant from = Instant.MIN;
  private Instant to = Instant.MAX;
  private double chance = 1;
  private long seen;
  private Fault fault;

  FaultRule(Faults faults, Predicate<String> calls) {
    this.faults = faults;
    this.calls = calls;
  }

  /**
   * Spares the first calls.
   *
   * @param count how many
   * @return this rule
   */
  public FaultRule skip(long count) {
    this.skip = count;
    return this;
  }

  /**
   * Bounds the calls that meet the fault.
   *
   * @param count how many
   * @return this rule
   */
  public FaultRule times(long count) {
    this.times = count;
    return this;
  }

  /**
   * Bounds the time in which calls meet the fault.
   *
   * @param start the first instant
   * @param end the first instant after it
   * @return this rule
   */
  public FaultRule between(Instant start, Instant end) {
    this.from = start;
    this.to = end;
    return this;
  }

  /**
   * Lets calls meet the fault by chance only.
   *
   * @param share the share of calls, from 0 to 1
   * @return this rule
   */
  public FaultRule withChance(double share) {
    this.chance = share;
    return this;
  }

  /** The calls find no connection. */
  public void down() {
    show(FaultKind.DOWN, Duration.ZERO);
  }

  /**
   * The calls take longer.
   *
   * @param time how much longer
   */
  public void slow(Duration time) {
    show(FaultKind.SLOW, time);
  }

  /** The calls fail without effect, which the caller cannot know. */
  public void errorBeforeEffect() {
    show(FaultKind.ERROR_BEFORE_EFFECT, Duration.ZERO);
  }

  /** The calls take effect and their answers are lost. */
  public void answerLost() {
    show(FaultKind.ANSWER_LOST, Duration.ZERO);
  }

  /**
   * The calls return a list of an earlier time.
   *
   * @param age how old
   */
  public void stale(Duration age) {
    show(FaultKind.STALE, age);
  }

  /** The calls take effect twice. */
  public void duplicate() {
    show(FaultKind.DUPLICATE, Duration.ZERO);
  }

  /** The calls take effect after the next call of the same stand-in. */
  public void reordered() {
    show(FaultKind.REORDERED, Duration.ZERO);
  }

  /** The calls take effect and half of their answers come. */
  public void cut() {
    show(FaultKind.CUT, Duration.ZERO);
  }

  /** The calls take effect and the answers of other calls come. */
  public void foreign() {
    show(FaultKind.FOREIGN, Duration.ZERO);
  }

  /**
   * The calls are taken in and nothing comes back.
   *
   * @param time how long a caller that blocks waits until it gives up
   */
  public void silent(Duration time) {
    show(FaultKind.SILENT, time);
  }

  private void show(FaultKind kind, Duration time) {
    fault = new Fault(kind, time);
    faults.add(this);
  }

  Fault fault() {
    return fault;
  }

  /** Counts a call if it lies in the window of this rule; the lock of the script is held. */
  boolean meets(String call, Instant now, UniformRandomProvider random) {
    if (!calls.test(call) || now.isBefore(from) || !now.isBefore(to)) {
      return false;
    }
    seen++;
    if (seen <= skip || seen - skip > times) {
      return false;
    }
    return chance >= 1 || random.nextDouble() < chance;
  }
}

package org.masticspread.node.stop;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.TreeMap;

/**
 * Graceful stop of a node in steps that interrupt no work: announces the stop, hands over shards
 * while it still forwards calls, refuses new work once all shards are handed over, and waits until
 * the work in flight ends. A second stop signal or the timeout ends the stop with work left.
 *
 * <p>Example: {@code while (!stop.step()) pause();}. Thread-safe.
 */
public final class GracefulStop {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** Operations of a node that a stop uses. */
  public interface Stoppable {
    /** Announces to peers and the platform that the node accepts no new work. */
    void announceStop();

    /**
     * Returns the work in flight.
     *
     * @return the counts by kind of work
     */
    Map<String, Integer> inFlight();

    /**
     * Continues the handover of shards.
     *
     * @return whether all shards are handed over
     */
    boolean handOver();

    /** Refuses new work of callers; the answer states that it was not run. */
    void refuseNewWork();
  }

  private enum Phase {
    RUNNING,
    /** The stop is announced; peers have time to learn of it. */
    TELLING,
    HANDING_OVER,
    REFUSING,
    DONE
  }

  private final Stoppable node;
  private final InstantSource clock;
  private final Duration timeout;
  private final Duration noticePeriod;
  private Phase phase = Phase.RUNNING;
  private Instant startedAt;
  private boolean forced;
  private boolean complete = true;

  /**
   * Creates a stop that has not begun.
   *
   * @param node the node
   * @param clock the clock
   * @param timeout the maximum duration of the stop
   * @param noticePeriod the time for peers to learn of the stop
   */
  public GracefulStop(
      Stoppable node, InstantSource clock, Duration timeout, Duration noticePeriod) {
    this.node = node;
    this.clock = clock;
    this.timeout = timeout;
    this.noticePeriod = noticePeriod;
  }

  /** Ends the stop at its next step, even if work remains. */
  public synchronized void force() {
    forced = true;
  }

  /**
   * Performs the next step of the stop.
   *
   * @return whether the stop is over
   */
  public synchronized boolean step() {
    if (phase == Phase.RUNNING) {
      startedAt = clock.instant();
      LOG.atInfo().log("stop: started");
      node.announceStop();
      phase = Phase.TELLING;
    }
    if (phase != Phase.DONE && (forced || clock.instant().isAfter(startedAt.plus(timeout)))) {
      abandon();
      return true;
    }
    advance();
    return phase == Phase.DONE;
  }

  private void advance() {
    if (phase == Phase.TELLING && !clock.instant().isBefore(startedAt.plus(noticePeriod))) {
      phase = Phase.HANDING_OVER;
    }
    if (phase == Phase.HANDING_OVER && node.handOver()) {
      node.refuseNewWork();
      phase = Phase.REFUSING;
    }
    if (phase == Phase.REFUSING && isIdle()) {
      LOG.atInfo().log("stop: complete, no work left");
      phase = Phase.DONE;
    }
  }

  private boolean isIdle() {
    return node.inFlight().values().stream().allMatch(n -> n == 0);
  }

  private void abandon() {
    Map<String, Integer> remaining = new TreeMap<>(node.inFlight());
    remaining.values().removeIf(n -> n == 0);
    complete = false;
    LOG.atWarning().log("stop: ended in phase %s with work left: %s", phase, remaining);
    phase = Phase.DONE;
  }

  /**
   * Returns whether the stop was complete.
   *
   * @return whether no work was interrupted and all shards were handed over
   */
  public synchronized boolean isComplete() {
    return complete;
  }
}

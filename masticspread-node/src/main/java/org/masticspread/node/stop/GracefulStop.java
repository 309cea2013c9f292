package org.masticspread.node.stop;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stops a node in steps without cutting off work: tells everyone, hands over shards while it goes
 * on forwarding, refuses new work once they are gone, and lets what is in flight end. A second
 * order or the bound ends it with what is left.
 *
 * <p>Example: {@code while (!stop.step()) pause();}. Thread-safe.
 */
public final class GracefulStop {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /** What a stop needs of a node. */
  public interface Stoppable {
    /** Tells peers and the platform that the node takes nothing new. */
    void leave();

    /**
     * Counts what is in flight.
     *
     * @return kinds of work to counts
     */
    Map<String, Integer> inFlight();

    /**
     * Goes on with the handover of shards.
     *
     * @return whether nothing is left to hand over
     */
    boolean handOver();

    /** Refuses new work of callers as certainly not run. */
    void refuse();
  }

  private enum Phase {
    RUNNING,
    TELLING,
    HANDING_OVER,
    REFUSING,
    DONE
  }

  private final Stoppable node;
  private final InstantSource clock;
  private final Duration bound;
  private final Duration hearing;
  private Phase phase = Phase.RUNNING;
  private Instant startedAt;
  private boolean forced;
  private boolean whole = true;

  /**
   * Creates a stop that has not begun.
   *
   * @param node the node
   * @param clock the clock
   * @param bound the longest time to wait
   * @param hearing how long peers may take to hear of the stop
   */
  public GracefulStop(Stoppable node, InstantSource clock, Duration bound, Duration hearing) {
    this.node = node;
    this.clock = clock;
    this.bound = bound;
    this.hearing = hearing;
  }

  /** Ends the stop at its next step, with what is left. */
  public synchronized void force() {
    forced = true;
  }

  /**
   * Goes on with the stop.
   *
   * @return whether it is over
   */
  public synchronized boolean step() {
    if (phase == Phase.RUNNING) {
      startedAt = clock.instant();
      LOG.atInfo().log("stop: begins");
      node.leave();
      phase = Phase.TELLING;
    }
    if (phase != Phase.DONE && (forced || clock.instant().isAfter(startedAt.plus(bound)))) {
      abandon();
      return true;
    }
    advance();
    return phase == Phase.DONE;
  }

  private void advance() {
    if (phase == Phase.TELLING && !clock.instant().isBefore(startedAt.plus(hearing))) {
      phase = Phase.HANDING_OVER;
    }
    if (phase == Phase.HANDING_OVER && node.handOver()) {
      node.refuse();
      phase = Phase.REFUSING;
    }
    if (phase == Phase.REFUSING && isIdle()) {
      LOG.atInfo().log("stop: nothing is left");
      phase = Phase.DONE;
    }
  }

  private boolean isIdle() {
    return node.inFlight().values().stream().allMatch(n -> n == 0);
  }

  private void abandon() {
    Map<String, Integer> left = new TreeMap<>(node.inFlight());
    left.values().removeIf(n -> n == 0);
    whole = false;
    LOG.atWarning().log("stop: ends in phase %s with work left: %s", phase, left);
    phase = Phase.DONE;
  }

  /**
   * Tells whether the stop left nothing behind.
   *
   * @return whether nothing was cut off and all was handed over
   */
  public synchronized boolean isWhole() {
    return whole;
  }
}

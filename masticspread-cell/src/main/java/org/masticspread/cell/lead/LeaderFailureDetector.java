package org.masticspread.cell.lead;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;

/**
 * An adaptive failure detector: decides when a leader that does not answer is suspected.
 *
 * <p>The timeout grows with the observed latency of the leader's answers, so that an overloaded
 * leader or one behind a slow link is not suspected too early. It also doubles with each
 * consecutive change of the leader, since a new leader is slow at first while it loads the cell. A
 * leader that answered quickly and falls silent is suspected soon.
 *
 * <pre>{@code
 * detector.leaderChanged();
 * detector.probeSent();
 * detector.probeAnswered(Duration.ofMillis(12), false);
 * if (detector.timedOut()) {
 *   pollOthers();
 * }
 * }</pre>
 */
final class LeaderFailureDetector {
  /** Two probe intervals and a round trip, for a leader that answers quickly. */
  static final Duration MIN_TIMEOUT = Duration.ofMillis(600);

  /** A leader that is silent for longer is of no use to callers, whatever the reason. */
  static final Duration MAX_TIMEOUT = Duration.ofMillis(4000);

  /** Changes of the leader that follow each other within this time are consecutive. */
  private static final Duration CONSECUTIVE_WINDOW = Duration.ofSeconds(12);

  /** Three doublings raise the minimum timeout above the maximum. */
  private static final int MAX_DOUBLINGS = 3;

  /** The weight of a new latency in the mean, as in the retransmission timeout of TCP. */
  private static final double MEAN_WEIGHT = 0.125;

  /** The weight of a new error in the mean deviation, as in TCP. */
  private static final double DEVIATION_WEIGHT = 0.25;

  /** How many deviations above the mean count as a slow answer, as in TCP. */
  private static final int DEVIATION_FACTOR = 4;

  private final InstantSource clock;
  private double meanMillis;
  private double deviationMillis;
  private long lastAnswerMillis;
  private Optional<Long> unansweredSinceMillis = Optional.empty();
  private long lastChangeMillis = Long.MIN_VALUE / 2;
  private int consecutiveChanges;

  LeaderFailureDetector(InstantSource clock) {
    this.clock = clock;
    this.lastAnswerMillis = clock.millis();
  }

  /** Records that another VM leads from now on, possibly this one. */
  void leaderChanged() {
    long now = clock.millis();
    boolean first = lastChangeMillis < 0;
    boolean consecutive = !first && now - lastChangeMillis < CONSECUTIVE_WINDOW.toMillis();
    consecutiveChanges = consecutive ? consecutiveChanges + 1 : 0;
    lastChangeMillis = now;
    lastAnswerMillis = now;
    unansweredSinceMillis = Optional.empty();
    meanMillis = 0;
    deviationMillis = 0;
  }

  /** Records that a probe was sent. */
  void probeSent() {
    if (unansweredSinceMillis.isEmpty()) {
      unansweredSinceMillis = Optional.of(clock.millis());
    }
  }

  /** Records that the leader answered a call other than a probe. */
  void callAnswered() {
    lastAnswerMillis = clock.millis();
    unansweredSinceMillis = unansweredSinceMillis.map(since -> lastAnswerMillis);
  }

  /**
   * Records that the leader answered a probe.
   *
   * @param latency how long the answer took, also if it came after the timeout
   * @param othersUnanswered whether other probes are still unanswered
   */
  void probeAnswered(Duration latency, boolean othersUnanswered) {
    lastAnswerMillis = clock.millis();
    unansweredSinceMillis = othersUnanswered ? Optional.of(lastAnswerMillis) : Optional.empty();
    double error = latency.toMillis() - meanMillis;
    meanMillis += MEAN_WEIGHT * error;
    deviationMillis += DEVIATION_WEIGHT * (Math.abs(error) - deviationMillis);
  }

  /** Returns how many changes of the leader followed each other in quick succession. */
  int consecutiveChanges() {
    return consecutiveChanges;
  }

  /** Returns how long the leader may be silent before it is suspected. */
  Duration timeout() {
    long millis = MIN_TIMEOUT.toMillis() + slowAnswerTime().toMillis();
    long doubled = millis << Math.min(consecutiveChanges, MAX_DOUBLINGS);
    return Duration.ofMillis(Math.min(MAX_TIMEOUT.toMillis(), doubled));
  }

  /** Returns an upper estimate of the latency of answers, from recent ones. */
  Duration slowAnswerTime() {
    double estimate = meanMillis + DEVIATION_FACTOR * deviationMillis;
    return Duration.ofMillis(Math.min(MAX_TIMEOUT.toMillis() / 2, (long) estimate));
  }

  /** Returns how long a probe has been unanswered, or zero if all are answered. */
  Duration silentFor() {
    return unansweredSinceMillis
        .map(since -> Duration.ofMillis(clock.millis() - since))
        .orElse(Duration.ZERO);
  }

  boolean answeredWithin(Duration time) {
    return clock.millis() - lastAnswerMillis <= time.toMillis();
  }

  /** Tells whether the leader has been silent for at least the timeout. */
  boolean timedOut() {
    return silentFor().compareTo(timeout()) >= 0;
  }
}

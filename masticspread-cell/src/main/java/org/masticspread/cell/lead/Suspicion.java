package org.masticspread.cell.lead;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;

/**
 * Decides when the silence of a leader means that it is gone.
 *
 * <p>Answers overload and slow links: a leader whose answers come late is waited for longer, by the
 * times that it was seen to need, and each change of the leader in a row makes the next one wait
 * twice as long, since what a new leader takes in makes it slow at first. A silent leader that
 * answered quickly before is suspected soon.
 *
 * <pre>{@code
 * suspicion.follow();
 * suspicion.asked();
 * suspicion.answered(Duration.ofMillis(12), false);
 * if (suspicion.silent()) {
 *   askOthers();
 * }
 * }</pre>
 */
final class Suspicion {
  /** Two probes and the way of an answer, for a leader that answers quickly. */
  static final Duration SHORTEST = Duration.ofMillis(600);

  /** A leader that is silent for longer serves nobody, whatever the reason. */
  static final Duration LONGEST = Duration.ofMillis(4000);

  /** Changes of the leader within this count as a row. */
  private static final Duration ROW = Duration.ofSeconds(12);

  /** Two doublings reach the longest patience from the shortest. */
  private static final int MOST_DOUBLINGS = 3;

  /** The weights of a new answer in the mean and in the deviation, as for TCP's time-outs. */
  private static final double MEAN_WEIGHT = 0.125;

  private static final double DEVIATION_WEIGHT = 0.25;

  private static final int DEVIATIONS = 4;

  private final InstantSource clock;
  private double meanMillis;
  private double deviationMillis;
  private long heardMillis;
  private Optional<Long> waitsSinceMillis = Optional.empty();
  private long followedMillis = Long.MIN_VALUE / 2;
  private int changesInRow;

  Suspicion(InstantSource clock) {
    this.clock = clock;
    this.heardMillis = clock.millis();
  }

  /** Another VM than before leads from now on; it may be this one. */
  void follow() {
    long now = clock.millis();
    boolean first = followedMillis < 0;
    boolean row = !first && now - followedMillis < ROW.toMillis();
    changesInRow = row ? changesInRow + 1 : 0;
    followedMillis = now;
    heardMillis = now;
    waitsSinceMillis = Optional.empty();
    meanMillis = 0;
    deviationMillis = 0;
  }

  /** A probe was sent. */
  void asked() {
    if (waitsSinceMillis.isEmpty()) {
      waitsSinceMillis = Optional.of(clock.millis());
    }
  }

  /** The leader answered something else than a probe. */
  void heard() {
    heardMillis = clock.millis();
    waitsSinceMillis = waitsSinceMillis.map(since -> heardMillis);
  }

  /**
   * The leader answered a probe.
   *
   * @param took how long the answer took, however late it came
   * @param othersWait whether other probes still have no answer
   */
  void answered(Duration took, boolean othersWait) {
    heardMillis = clock.millis();
    waitsSinceMillis = othersWait ? Optional.of(heardMillis) : Optional.empty();
    double error = took.toMillis() - meanMillis;
    meanMillis += MEAN_WEIGHT * error;
    deviationMillis += DEVIATION_WEIGHT * (Math.abs(error) - deviationMillis);
  }

  /** Returns how many changes of the leader came soon after another. */
  int changesInRow() {
    return changesInRow;
  }

  /** Returns how long the leader may be silent. */
  Duration patience() {
    long millis = SHORTEST.toMillis() + slowAnswer().toMillis();
    long doubled = millis << Math.min(changesInRow, MOST_DOUBLINGS);
    return Duration.ofMillis(Math.min(LONGEST.toMillis(), doubled));
  }

  /** Returns how long answers of the leader take at most, by those seen lately. */
  Duration slowAnswer() {
    double seen = meanMillis + DEVIATIONS * deviationMillis;
    return Duration.ofMillis(Math.min(LONGEST.toMillis() / 2, (long) seen));
  }

  /** Returns for how long a probe has had no answer; zero if all have one. */
  Duration silentFor() {
    return waitsSinceMillis
        .map(since -> Duration.ofMillis(clock.millis() - since))
        .orElse(Duration.ZERO);
  }

  boolean heardWithin(Duration time) {
    return clock.millis() - heardMillis <= time.toMillis();
  }

  /** Tells whether the leader has been silent for longer than it may be. */
  boolean silent() {
    return silentFor().compareTo(patience()) >= 0;
  }
}

package org.masticspread.cell.lead;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import org.masticspread.cell.lead.StoreCheck.Outcome;

/**
 * Decides when a leader whose commits fail has to be assumed cut off from the store.
 *
 * <p>A single commit without an answer proves little: the store may have lost the answer or be
 * slow. So the leader checks the store with other writes meanwhile, and any answer resets the
 * detector. The timeout doubles with each consecutive change of the leader, since a change that did
 * not help shows that other VMs have trouble with the store as well.
 *
 * <pre>{@code
 * detector.checkEnded(sentMillis, Outcome.UNANSWERED);
 * if (detector.lost(consecutiveChanges)) {
 *   inviteSuccessor();
 * }
 * }</pre>
 */
final class StoreFailureDetector {
  /** The base timeout while checks, like the commit in flight, get no answer. */
  static final Duration UNANSWERED_TIMEOUT = Duration.ofMillis(500);

  /** Shorter, since a refusal is certain at once; several in a row are no coincidence. */
  static final Duration REFUSED_TIMEOUT = Duration.ofMillis(200);

  /** Limits the timeout to a few seconds. */
  private static final int MAX_DOUBLINGS = 3;

  private final InstantSource clock;
  private Optional<Long> failingSinceMillis = Optional.empty();
  private long lastReachedMillis = Long.MIN_VALUE;
  private Outcome lastOutcome = Outcome.REACHED;

  StoreFailureDetector(InstantSource clock) {
    this.clock = clock;
  }

  /** Records that the store has carried out a write of this VM. */
  void storeReached() {
    failingSinceMillis = Optional.empty();
    lastReachedMillis = clock.millis();
    lastOutcome = Outcome.REACHED;
  }

  /**
   * Records the outcome of a check. Ignores a failed check that was sent before the latest answer.
   *
   * @param sentMillis when the check was sent
   * @param outcome its outcome
   */
  void checkEnded(long sentMillis, Outcome outcome) {
    if (outcome == Outcome.REACHED) {
      storeReached();
      return;
    }
    if (sentMillis <= lastReachedMillis) {
      return;
    }
    lastOutcome = outcome;
    if (failingSinceMillis.isEmpty()) {
      failingSinceMillis = Optional.of(sentMillis);
    }
  }

  /** Returns how long checks have been failing, or zero if the store has answered since. */
  Duration failingFor() {
    return failingSinceMillis
        .map(since -> Duration.ofMillis(clock.millis() - since))
        .orElse(Duration.ZERO);
  }

  /**
   * Tells whether checks have failed for so long that another VM may reach the store better.
   *
   * @param consecutiveChanges the number of recent changes of the leader in quick succession
   * @return whether to hand the cell over
   */
  boolean lost(int consecutiveChanges) {
    Duration base = lastOutcome == Outcome.REFUSED ? REFUSED_TIMEOUT : UNANSWERED_TIMEOUT;
    Duration timeout = base.multipliedBy(1L << Math.min(consecutiveChanges, MAX_DOUBLINGS));
    return failingSinceMillis.isPresent() && failingFor().compareTo(timeout) >= 0;
  }
}

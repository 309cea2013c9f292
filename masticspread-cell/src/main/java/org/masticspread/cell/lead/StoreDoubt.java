package org.masticspread.cell.lead;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import org.masticspread.cell.lead.StoreCheck.Outcome;

/**
 * Decides when a leader whose commits fail may have lost the store.
 *
 * <p>One commit without an answer says little: the store may have lost the answer, or be slow. So
 * the leader checks the store by other writes meanwhile, and any answer clears the doubt. Each
 * change of the leader in a row makes the next one wait twice as long, since one that did not help
 * shows that the store is disturbed for other VMs as well.
 *
 * <pre>{@code
 * doubt.checked(sentMillis, Outcome.UNANSWERED);
 * if (doubt.lost(changesInRow)) {
 *   inviteAnother();
 * }
 * }</pre>
 */
final class StoreDoubt {
  /** Checks without an answer for so long, beside a commit that has none either. */
  static final Duration UNANSWERED = Duration.ofMillis(500);

  /** A refusal is certain at once; a few in a row are no chance. */
  static final Duration REFUSED = Duration.ofMillis(200);

  /** The longest wait is some seconds. */
  private static final int MOST_DOUBLINGS = 3;

  private final InstantSource clock;
  private Optional<Long> failingSinceMillis = Optional.empty();
  private long answeredMillis = Long.MIN_VALUE;
  private Outcome last = Outcome.REACHED;

  StoreDoubt(InstantSource clock) {
    this.clock = clock;
  }

  /** The store has carried out a write of this VM. */
  void reached() {
    failingSinceMillis = Optional.empty();
    answeredMillis = clock.millis();
    last = Outcome.REACHED;
  }

  /**
   * A check has ended.
   *
   * @param sentMillis when it was sent
   * @param outcome what became of it
   */
  void checked(long sentMillis, Outcome outcome) {
    if (outcome == Outcome.REACHED) {
      reached();
      return;
    }
    if (sentMillis <= answeredMillis) {
      return;
    }
    last = outcome;
    if (failingSinceMillis.isEmpty()) {
      failingSinceMillis = Optional.of(sentMillis);
    }
  }

  /** Returns for how long checks have failed; zero if the store has answered since. */
  Duration failingFor() {
    return failingSinceMillis
        .map(since -> Duration.ofMillis(clock.millis() - since))
        .orElse(Duration.ZERO);
  }

  /**
   * Tells whether another VM may reach the store better.
   *
   * @param changesInRow the latest changes of the leader, one soon after the other
   * @return whether to look for one
   */
  boolean lost(int changesInRow) {
    Duration base = last == Outcome.REFUSED ? REFUSED : UNANSWERED;
    Duration patience = base.multipliedBy(1L << Math.min(changesInRow, MOST_DOUBLINGS));
    return failingSinceMillis.isPresent() && failingFor().compareTo(patience) >= 0;
  }
}

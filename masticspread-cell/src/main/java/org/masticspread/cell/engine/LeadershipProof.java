package org.masticspread.cell.engine;

import java.time.Duration;
import java.util.Arrays;

/**
 * Knows the newest proof that no other VM has taken the cell over, and its age. A leader acts for
 * the cell, and grants leases, only by a proof that is young enough. Confined to the cell's thread.
 *
 * <p>A commit proves it for the moment at which it was sent. Answers of a majority of the workers
 * in use prove it for the moment at which the oldest of these calls was sent, since {@link
 * InheritedLeases} counts on the end of earlier leases only after as many workers refuse the former
 * leader. So a leader goes on while the store answers nobody, and stops if another VM takes over
 * out of its sight.
 *
 * <pre>{@code
 * if (proof.holds()) {
 *   grantLease(Math.min(requested, proof.maxLeaseMillis()));
 * }
 * }</pre>
 */
final class LeadershipProof {
  /** How long after a proof no lease that was granted by it may end any more. */
  static final Duration LEASE_HORIZON = Duration.ofMillis(4000);

  /** How long a leader without commits may rely on the answers of workers. */
  static final Duration MAX_TIME_WITHOUT_COMMIT = Duration.ofSeconds(60);

  /** The age up to which a proof allows orders; workers may hold two renewals for a second each. */
  private static final Duration MAX_AGE = Duration.ofMillis(2000);

  /** Age of a commit up to which the answers of workers are not evaluated. */
  private static final Duration RECENT_COMMIT_AGE = Duration.ofMillis(400);

  /** How long the moment that the answers of workers prove is cached; the proof ages meanwhile. */
  private static final Duration WORKER_CHECK_INTERVAL = Duration.ofMillis(50);

  /** Gap between the clocks above which the VM was suspended or its wall clock was set. */
  private static final Duration MAX_CLOCK_GAP = Duration.ofMillis(150);

  private static final long NONE = Long.MIN_VALUE / 2;

  private final CellPorts ports;
  private final Fleet fleet;

  /** Proofs of moments before this are void. */
  private long validSinceMillis = NONE;

  private long fencedMillis = NONE;
  private long workersCheckedMillis = NONE;
  private long workersProvedMillis = NONE;
  private long clockReadMillis;
  private long timeOfDayReadMillis;
  private boolean held = true;

  LeadershipProof(CellPorts ports, Fleet fleet) {
    this.ports = ports;
    this.fleet = fleet;
    this.clockReadMillis = ports.clock().millis();
    this.timeOfDayReadMillis = ports.timeOfDay().millis();
  }

  /** Returns whether this VM may act for the cell now. */
  boolean holds() {
    long age = ageMillis();
    boolean holds = age <= MAX_AGE.toMillis();
    if (holds != held) {
      held = holds;
      ports
          .log()
          .event(
              holds ? "leadership-proved" : "leadership-unproved",
              "cell",
              "epoch",
              ports.term().epoch(),
              "proofAgeMs",
              age,
              "commitAgeMs",
              ports.clock().millis() - ports.journal().confirmedMillis(),
              "fenced",
              fencedMillis > ports.journal().confirmedMillis());
    }
    return holds;
  }

  /** Returns the duration of the longest lease that may be granted now; zero or less for none. */
  long maxLeaseMillis() {
    return LEASE_HORIZON.toMillis() - ageMillis();
  }

  /** Records that a worker has seen a higher fencing token. */
  void fenced() {
    fencedMillis = ports.clock().millis();
    validSinceMillis = fencedMillis;
  }

  private long ageMillis() {
    voidProofsBeforeSuspension();
    long now = ports.clock().millis();
    long committed = ports.journal().confirmedMillis();
    long newest = committed;
    if (now - committed > RECENT_COMMIT_AGE.toMillis()) {
      newest = Math.max(committed, provedByWorkersMillis(now, committed));
    }
    return newest < validSinceMillis ? now - NONE : now - newest;
  }

  /**
   * Voids earlier proofs if the VM may have been suspended since the previous check: meanwhile the
   * monotonic clock stood still, and the wall clock did not.
   */
  private void voidProofsBeforeSuspension() {
    long now = ports.clock().millis();
    long timeOfDay = ports.timeOfDay().millis();
    long gap = timeOfDay - timeOfDayReadMillis - (now - clockReadMillis);
    if (gap > MAX_CLOCK_GAP.toMillis()) {
      validSinceMillis = now;
      ports.log().event("clock-gap", "cell", "epoch", ports.term().epoch(), "gapMs", gap);
    }
    clockReadMillis = now;
    timeOfDayReadMillis = timeOfDay;
  }

  private long provedByWorkersMillis(long now, long committed) {
    boolean tooLong = now - committed > MAX_TIME_WITHOUT_COMMIT.toMillis();
    if (fencedMillis >= committed || tooLong) {
      return NONE;
    }
    if (now - workersCheckedMillis >= WORKER_CHECK_INTERVAL.toMillis()) {
      workersCheckedMillis = now;
      workersProvedMillis = oldestOfMajority(committed);
    }
    return workersProvedMillis;
  }

  /**
   * Returns when the oldest of the newest answered calls of a majority was sent. The majority holds
   * for the list of used workers as it is stored and as it will be once pending changes are.
   */
  private long oldestOfMajority(long committed) {
    int possible = 0;
    int certain = 0;
    int answered = 0;
    long[] sentMillis = new long[fleet.all().size()];
    for (Worker worker : fleet.all()) {
      boolean stored = worker.listing.isPresent();
      boolean requested = worker.requestedListing.isPresent();
      if (!stored && !requested) {
        continue;
      }
      possible++;
      certain += stored && requested ? 1 : 0;
      // A worker that was started anew has forgotten the tokens that it had seen.
      if (worker.hasAnswered && worker.incarnationSinceMillis <= committed) {
        sentMillis[answered++] = worker.lastRenewalSentMillis;
      }
    }
    int majority = possible - (certain + 1) / 2 + 1;
    if (answered < majority) {
      return NONE;
    }
    Arrays.sort(sentMillis, 0, answered);
    return sentMillis[answered - majority];
  }
}

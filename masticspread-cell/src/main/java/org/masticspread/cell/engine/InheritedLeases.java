package org.masticspread.cell.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * Knows when the leases that former leaders granted have certainly expired. Confined to the cell's
 * thread.
 *
 * <p>A former leader grants no lease beyond {@link LeadershipProof#LEASE_HORIZON} after its last
 * proof. It gets none once half of the workers that it used have answered this leader, and so
 * refuse it.
 */
final class InheritedLeases {
  /** Later than any moment of the cell's clock. */
  private static final long UNKNOWN = Long.MAX_VALUE / 2;

  private final CellPorts ports;

  /** The workers that former leaders used. */
  private final List<Worker> used = new ArrayList<>();

  private long startMillis;
  private long endMillis = UNKNOWN;
  private long strayEndMillis = UNKNOWN;

  InheritedLeases(CellPorts ports) {
    this.ports = ports;
  }

  /** Adds a worker that former leaders used. */
  void add(Worker worker) {
    used.add(worker);
  }

  /** Starts to wait, once all used workers are added. */
  void start() {
    startMillis = ports.clock().millis();
    update();
  }

  /**
   * Returns when they have expired on the cell's clock; far in the future while unknown.
   *
   * @param stray whether a call for an earlier incarnation of the worker may have granted the lease
   */
  long endMillis(boolean stray) {
    return stray ? strayEndMillis : endMillis;
  }

  /** Returns whether it is known when they expire. */
  boolean endKnown() {
    return endMillis != UNKNOWN;
  }

  /** Checks whether former leaders can still prove that they lead. */
  void update() {
    if (endKnown()) {
      return;
    }
    long refusing = used.stream().filter(worker -> worker.hasAnswered || worker.replaced).count();
    boolean noMajority = 2 * refusing >= used.size();
    long waited = ports.clock().millis() - startMillis;
    if (noMajority || waited > LeadershipProof.MAX_TIME_WITHOUT_COMMIT.toMillis()) {
      formerLeadersEnded(noMajority ? "workers refuse it" : "no commit for too long");
    }
  }

  /** Returns after which time the longest lease that a worker grants has certainly expired. */
  long longestLeaseMillis() {
    return (long) (ports.limits().maxLease().toMillis() * Cell.CLOCK_DRIFT_FACTOR)
        + 2 * Cell.LEASE_EXPIRY_MARGIN.toMillis();
  }

  /** Records that no former leader can prove any more that it leads. */
  void formerLeadersEnded(String reason) {
    if (endKnown()) {
      return;
    }
    long horizon =
        (long) (LeadershipProof.LEASE_HORIZON.toMillis() * Cell.CLOCK_DRIFT_FACTOR)
            + 2 * Cell.LEASE_EXPIRY_MARGIN.toMillis();
    endMillis = ports.clock().millis() + horizon;
    strayEndMillis = Math.max(endMillis, ports.clock().millis() + longestLeaseMillis());
    long silent = used.stream().filter(worker -> !worker.hasAnswered).count();
    ports
        .log()
        .event(
            "former-leaders-ended",
            "cell",
            "epoch",
            ports.term().epoch(),
            "reason",
            reason,
            "usedWorkers",
            used.size(),
            "silentWorkers",
            silent,
            "leasesEndInMs",
            horizon);
  }
}

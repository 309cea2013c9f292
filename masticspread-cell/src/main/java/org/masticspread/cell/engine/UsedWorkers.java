package org.masticspread.cell.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.journal.UsedWorkersRecord;
import org.masticspread.cell.journal.UsedWorkersRecord.Used;
import org.masticspread.cell.port.TableCommit.RowName;

/**
 * Keeps a durable list of the workers that may get tasks. A worker gets none before it is listed,
 * so that a later leader finds the runs on it even if its registry entry has expired. Confined to
 * the cell's thread.
 */
final class UsedWorkers {
  /** Number of rows over which the list is spread, since the size of a row is limited. */
  private static final int ROW_COUNT = 16;

  private final CellPorts ports;
  private final Fleet fleet;
  private final Cell cell;
  private final InheritedLeases inheritedLeases;
  private boolean started;
  private long lastListingNumber;

  UsedWorkers(CellPorts ports, Fleet fleet, Cell cell, InheritedLeases inheritedLeases) {
    this.ports = ports;
    this.fleet = fleet;
    this.cell = cell;
    this.inheritedLeases = inheritedLeases;
  }

  /** Restores a listed worker; returns whether it is not in the registry. */
  boolean restore(Used used) {
    boolean missing = fleet.find(used.id()).isEmpty();
    if (missing) {
      fleet.addUnregistered(used);
    }
    fleet
        .find(used.id())
        .ifPresent(
            worker -> {
              worker.requestedListing = Optional.of(used);
              worker.listing = Optional.of(used);
              worker.inheritedListing = Optional.of(used);
              inheritedLeases.add(worker);
            });
    return missing;
  }

  /** Returns whether an earlier leader may have used a worker. */
  boolean mayBeUsed(Worker worker) {
    return !started || worker.requestedListing.isPresent();
  }

  /** Lists all workers that are not listed yet, and starts listing new ones. */
  void start() {
    started = true;
    fleet.all().forEach(this::ensureListed);
  }

  /** Lists a worker as it is now known, unless it is so listed or about to be. */
  void ensureListed(Worker worker) {
    Used current = current(worker);
    if (!started
        || worker.requestedListing.filter(used -> sameListing(used, current)).isPresent()) {
      return;
    }
    if (worker.requestedListing.isEmpty()) {
      // The removal may be durable before the new entry is.
      worker.listing = Optional.empty();
    }
    long listingNumber = ++lastListingNumber;
    worker.listingNumber = listingNumber;
    worker.requestedListing = Optional.of(current);
    writeRow(worker.id());
    ports
        .journal()
        .whenDurable(
            () -> {
              if (worker.listingNumber != listingNumber) {
                return;
              }
              worker.listing = Optional.of(current);
              ports
                  .log()
                  .event(
                      "worker-listed",
                      worker.id(),
                      "epoch",
                      ports.term().epoch(),
                      "life",
                      current.incarnation(),
                      "strayLeaseUntil",
                      current.strayLeaseUntilMillis());
              cell.requestPass();
            });
  }

  /** Returns how a worker is to be listed. */
  private static Used current(Worker worker) {
    String address = worker.entry.address();
    if (worker.hasAnswered) {
      return new Used(
          worker.id(),
          address,
          worker.capacity(),
          worker.incarnation,
          worker.strayLeaseUntilMillis);
    }
    // What former leaders knew of it stays listed until its first answer.
    long incarnation =
        worker.requestedListing.map(Used::incarnation).orElse(worker.entry.incarnation());
    long strayLeaseUntil = worker.requestedListing.map(Used::strayLeaseUntilMillis).orElse(0L);
    return new Used(worker.id(), address, worker.capacity(), incarnation, strayLeaseUntil);
  }

  /** Returns whether two listings differ at most in the capacity. */
  private static boolean sameListing(Used one, Used other) {
    return one.address().equals(other.address())
        && one.incarnation() == other.incarnation()
        && one.strayLeaseUntilMillis() == other.strayLeaseUntilMillis();
  }

  /** Lists a worker without its stray lease once that has expired. */
  void removeExpiredStrayLease(Worker worker) {
    boolean expired = worker.clockMillis > worker.strayLeaseUntilMillis;
    if (worker.strayLeaseUntilMillis > 0 && worker.incarnationConfirmed && expired) {
      worker.strayLeaseUntilMillis = 0;
      ensureListed(worker);
    }
  }

  /** Removes an unregistered worker from the list, once the ends of all its runs are durable. */
  void unlistIfUnused(Worker worker) {
    boolean mayRun = worker.mayHaveUnreportedRuns(ports.clock().millis());
    boolean idle = worker.runs.isEmpty() && !mayRun;
    boolean endsDurable = worker.seenEnd == worker.acknowledgedEnd;
    boolean listed = worker.requestedListing.isPresent();
    if (!worker.unregistered() || !idle || !endsDurable || !listed) {
      return;
    }
    long listingNumber = ++lastListingNumber;
    worker.listingNumber = listingNumber;
    worker.requestedListing = Optional.empty();
    writeRow(worker.id());
    ports
        .journal()
        .whenDurable(
            () -> {
              if (worker.listingNumber == listingNumber) {
                worker.listing = Optional.empty();
              }
            });
    ports.log().event("worker-unlisted", worker.id(), "epoch", ports.term().epoch());
  }

  private void writeRow(String id) {
    String row = row(id);
    ports.journal().put(new RowName(Rows.USED_WORKER_TABLE, row), () -> Rows.encode(record(row)));
  }

  private UsedWorkersRecord record(String row) {
    List<Used> workers = new ArrayList<>();
    for (Worker worker : fleet.all()) {
      if (row(worker.id()).equals(row)) {
        worker.requestedListing.map(used -> withCapacity(used, worker)).ifPresent(workers::add);
      }
    }
    return new UsedWorkersRecord(workers);
  }

  private static Used withCapacity(Used used, Worker worker) {
    return new Used(
        used.id(),
        used.address(),
        worker.capacity(),
        used.incarnation(),
        used.strayLeaseUntilMillis());
  }

  private static String row(String id) {
    return Integer.toString(Math.floorMod(id.hashCode(), ROW_COUNT));
  }
}

package org.masticspread.cell.engine;

import java.util.ArrayList;
import java.util.List;
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
              worker.requestedListedAddress = used.address();
              worker.listedAddress = used.address();
              inheritedLeases.add(worker);
            });
    return missing;
  }

  /** Returns whether an earlier leader may have used a worker. */
  boolean mayBeUsed(Worker worker) {
    return !started || !worker.requestedListedAddress.isEmpty();
  }

  /** Lists all workers that are not listed yet, and starts listing new ones. */
  void start() {
    started = true;
    fleet.all().forEach(this::ensureListed);
  }

  /** Lists a worker under its current address, unless it is listed or about to be. */
  void ensureListed(Worker worker) {
    String address = worker.entry.address();
    if (!started || address.equals(worker.requestedListedAddress)) {
      return;
    }
    boolean removalPending = worker.requestedListedAddress.isEmpty();
    if (removalPending) {
      // The removal may be durable before the new entry is.
      worker.listedAddress = "";
    }
    long listingNumber = ++lastListingNumber;
    worker.listingNumber = listingNumber;
    worker.requestedListedAddress = address;
    writeRow(worker.id());
    ports
        .journal()
        .whenDurable(
            () -> {
              if (worker.listingNumber != listingNumber) {
                return;
              }
              worker.listedAddress = address;
              ports.log().event("worker-listed", worker.id(), "epoch", ports.term().epoch());
              cell.requestPass();
            });
  }

  /** Removes an unregistered worker from the list, once the ends of all its runs are durable. */
  void unlistIfUnused(Worker worker) {
    boolean mayRun = worker.mayHaveUnreportedRuns(ports.clock().millis());
    boolean idle = worker.runs.isEmpty() && !mayRun;
    boolean endsDurable = worker.seenEnd == worker.acknowledgedEnd;
    boolean listed = !worker.requestedListedAddress.isEmpty();
    if (!worker.unregistered() || !idle || !endsDurable || !listed) {
      return;
    }
    long listingNumber = ++lastListingNumber;
    worker.listingNumber = listingNumber;
    worker.requestedListedAddress = "";
    writeRow(worker.id());
    ports
        .journal()
        .whenDurable(
            () -> {
              if (worker.listingNumber == listingNumber) {
                worker.listedAddress = "";
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
      boolean listed = !worker.requestedListedAddress.isEmpty();
      if (listed && row(worker.id()).equals(row)) {
        workers.add(new Used(worker.id(), worker.requestedListedAddress, worker.capacity()));
      }
    }
    return new UsedWorkersRecord(workers);
  }

  private static String row(String id) {
    return Integer.toString(Math.floorMod(id.hashCode(), ROW_COUNT));
  }
}

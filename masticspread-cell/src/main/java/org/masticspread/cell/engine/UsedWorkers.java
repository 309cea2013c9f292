package org.masticspread.cell.engine;

import java.util.ArrayList;
import java.util.List;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.journal.UsedWorkersRecord;
import org.masticspread.cell.journal.UsedWorkersRecord.Used;
import org.masticspread.cell.port.TableCommit.RowName;

/**
 * Keeps in the store which workers may get tasks. A worker gets none before it is listed there, so
 * that a later leader finds what runs on it although its registry entry has lapsed. Confined to the
 * cell.
 */
final class UsedWorkers {
  /** The list is spread over rows, since the size of a row is limited. */
  private static final int ROW_COUNT = 16;

  private final CellPorts ports;
  private final Fleet fleet;
  private final Cell cell;
  private boolean started;
  private long lastListingNumber;

  UsedWorkers(CellPorts ports, Fleet fleet, Cell cell) {
    this.ports = ports;
    this.fleet = fleet;
    this.cell = cell;
  }

  /** Takes over a listed worker; returns whether the registry does not name it. */
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
            });
    return missing;
  }

  /** Tells whether an earlier leader may have used a worker that is registered. */
  boolean mayBeUsed(Worker worker) {
    return !started || !worker.requestedListedAddress.isEmpty();
  }

  /** Lists the workers that are not listed yet, now and from now on. */
  void start() {
    started = true;
    fleet.all().forEach(this::ensureListed);
  }

  /** Lists a worker, or its new address. */
  void ensureListed(Worker worker) {
    String address = worker.entry.address();
    if (!started || worker.listed() || address.equals(worker.requestedListedAddress)) {
      return;
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

  /** Drops a worker from the list that has left, once all that ran there has ended durably. */
  void unlistIfUnused(Worker worker) {
    boolean mayRun = !worker.hasAnswered && ports.clock().millis() < worker.inheritedLeaseEndMillis;
    boolean idle = worker.runs.isEmpty() && !mayRun;
    boolean endsDurable = worker.seenEnd == worker.acknowledgedEnd;
    boolean listed = !worker.requestedListedAddress.isEmpty();
    if (!worker.unregistered() || !idle || !endsDurable || !listed) {
      return;
    }
    worker.listingNumber = 0;
    worker.requestedListedAddress = "";
    worker.listedAddress = "";
    writeRow(worker.id());
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

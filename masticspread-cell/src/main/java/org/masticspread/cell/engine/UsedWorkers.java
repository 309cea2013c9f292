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
  private static final int ROWS = 16;

  private final CellPorts ports;
  private final Fleet fleet;
  private final Cell cell;
  private boolean begun;
  private long listings;

  UsedWorkers(CellPorts ports, Fleet fleet, Cell cell) {
    this.ports = ports;
    this.fleet = fleet;
    this.cell = cell;
  }

  /** Takes over a listed worker; returns whether the registry does not name it. */
  boolean restore(Used used) {
    boolean missing = fleet.find(used.id()).isEmpty();
    if (missing) {
      fleet.addMissing(used);
    }
    fleet
        .find(used.id())
        .ifPresent(
            worker -> {
              worker.listingAddress = used.address();
              worker.listedAddress = used.address();
            });
    return missing;
  }

  /** Tells whether an earlier leader may have used a worker that is registered. */
  boolean mayBeUsed(Worker worker) {
    return !begun || !worker.listingAddress.isEmpty();
  }

  /** Lists the workers that are not listed yet, now and from now on. */
  void begin() {
    begun = true;
    fleet.all().forEach(this::list);
  }

  /** Lists a worker, or its new address. */
  void list(Worker worker) {
    String address = worker.entry.address();
    if (!begun || worker.listed() || address.equals(worker.listingAddress)) {
      return;
    }
    long listing = ++listings;
    worker.listing = listing;
    worker.listingAddress = address;
    save(worker.id());
    ports
        .journal()
        .whenDurable(
            () -> {
              if (worker.listing != listing) {
                return;
              }
              worker.listedAddress = address;
              ports.log().event("worker-listed", worker.id(), "epoch", ports.term().epoch());
              cell.requestPass();
            });
  }

  /** Drops a worker from the list that has left, once all that ran there has ended durably. */
  void review(Worker worker) {
    boolean mayRun = !worker.heard && ports.clock().millis() < worker.unheardUntilMillis;
    boolean idle = worker.runs.isEmpty() && !mayRun;
    boolean endsDurable = worker.seenEnd == worker.acknowledgedEnd;
    boolean inList = !worker.listingAddress.isEmpty();
    if (!worker.gone() || !idle || !endsDurable || !inList) {
      return;
    }
    worker.listing = 0;
    worker.listingAddress = "";
    worker.listedAddress = "";
    save(worker.id());
    ports.log().event("worker-unlisted", worker.id(), "epoch", ports.term().epoch());
  }

  private void save(String id) {
    String row = row(id);
    ports.journal().put(new RowName(Rows.USED_WORKER_TABLE, row), () -> Rows.encode(record(row)));
  }

  private UsedWorkersRecord record(String row) {
    List<Used> workers = new ArrayList<>();
    for (Worker worker : fleet.all()) {
      boolean inList = !worker.listingAddress.isEmpty();
      if (inList && row(worker.id()).equals(row)) {
        workers.add(new Used(worker.id(), worker.listingAddress, worker.capacity()));
      }
    }
    return new UsedWorkersRecord(workers);
  }

  private static String row(String id) {
    return Integer.toString(Math.floorMod(id.hashCode(), ROWS));
  }
}

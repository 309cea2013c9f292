package org.masticspread.cell.lead;

import com.codahale.metrics.MetricRegistry;
import java.time.InstantSource;
import java.util.Optional;
import java.util.function.Function;
import org.masticspread.cell.engine.CellLimits;
import org.masticspread.cell.load.LoadMeter;
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.port.AdvisorPort;
import org.masticspread.cell.port.TablePort;
import org.masticspread.cell.port.TableRow;
import org.masticspread.cell.port.Timers;
import org.masticspread.cell.port.WorkerEntry;
import org.masticspread.cell.port.WorkerPort;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.peer.PeerPort;

/**
 * What a VM works with.
 *
 * @param store the platform's store
 * @param workers calls workers
 * @param advisor calls the advisor from this VM
 * @param peers calls other VMs; completes on any thread
 * @param registry where workers register, and how to read a row of it
 * @param operator where the operator's configuration stands, and how to read it
 * @param timers runs actions on the VM's one thread
 * @param clock a steady clock
 * @param timeOfDay for the due times of timed jobs only
 * @param log told of each decision
 * @param metrics counters and histograms
 * @param limits the platform's bounds
 * @param meter counts bytes and processor time
 */
public record VmPorts(
    TablePort store,
    WorkerPort workers,
    AdvisorPort advisor,
    PeerPort peers,
    Source<WorkerEntry> registry,
    Source<CellConfig> operator,
    Timers timers,
    InstantSource clock,
    InstantSource timeOfDay,
    EventLog log,
    MetricRegistry metrics,
    CellLimits limits,
    LoadMeter meter) {

  /**
   * Rows of the store that others write.
   *
   * @param <T> what a row says
   * @param table the table
   * @param part the part
   * @param decoder reads a row; empty for one that says nothing usable
   */
  public record Source<T>(String table, String part, Function<TableRow, Optional<T>> decoder) {}
}

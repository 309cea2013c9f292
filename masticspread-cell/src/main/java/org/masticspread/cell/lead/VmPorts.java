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
 * The ports through which a VM reaches the platform, its peers and the time.
 *
 * @param store the platform's store
 * @param workers calls workers
 * @param advisor calls the advisor from this VM
 * @param peers calls other VMs; completes on any thread
 * @param workerRegistry the rows in which workers are registered
 * @param operatorConfig the rows that hold the operator's configuration
 * @param timers runs actions on the VM's only thread
 * @param clock a monotonic clock
 * @param timeOfDay the wall clock; used for the due times of scheduled jobs, and to detect that the
 *     VM was suspended, during which the monotonic clock stands still
 * @param log records each decision
 * @param metrics counters and histograms
 * @param limits the limits of the platform
 * @param meter counts bytes and processor time
 */
public record VmPorts(
    TablePort store,
    WorkerPort workers,
    AdvisorPort advisor,
    PeerPort peers,
    Source<WorkerEntry> workerRegistry,
    Source<CellConfig> operatorConfig,
    Timers timers,
    InstantSource clock,
    InstantSource timeOfDay,
    EventLog log,
    MetricRegistry metrics,
    CellLimits limits,
    LoadMeter meter) {

  /** Returns these ports with another way to call peers. */
  VmPorts withPeers(PeerPort newPeers) {
    return new VmPorts(
        store,
        workers,
        advisor,
        newPeers,
        workerRegistry,
        operatorConfig,
        timers,
        clock,
        timeOfDay,
        log,
        metrics,
        limits,
        meter);
  }

  /**
   * A part of a table that is written by others than the VMs of the cell.
   *
   * @param <T> the type of a decoded row
   * @param table the table
   * @param part the part
   * @param decoder decodes a row; returns empty for one that is unusable
   */
  public record Source<T>(String table, String part, Function<TableRow, Optional<T>> decoder) {}
}

package org.masticspread.cell.engine;

import com.codahale.metrics.MetricRegistry;
import java.time.InstantSource;
import org.masticspread.cell.journal.Journal;
import org.masticspread.cell.journal.Term;
import org.masticspread.cell.load.LoadMeter;
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.port.Timers;
import org.masticspread.cell.port.WorkerPort;

/**
 * The collaborators of a cell.
 *
 * @param term the term for which this VM is leader
 * @param journal writes the durable rows
 * @param workers calls the workers
 * @param adviceDispatcher sends requests to the advisor
 * @param timers runs actions later, on the thread that the cell is confined to
 * @param clock a monotonic clock
 * @param timeOfDay the wall clock; used for the acceptance times of jobs, the due times of timed
 *     jobs, and to detect that the VM was suspended
 * @param log receives an event for each decision
 * @param metrics the registry of counters and histograms
 * @param limits the platform's limits
 * @param meter measures transferred bytes and processor time
 */
public record CellPorts(
    Term term,
    Journal journal,
    WorkerPort workers,
    AdviceDispatcher adviceDispatcher,
    Timers timers,
    InstantSource clock,
    InstantSource timeOfDay,
    EventLog log,
    MetricRegistry metrics,
    CellLimits limits,
    LoadMeter meter) {}

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
 * What a cell works with.
 *
 * @param term the won leadership
 * @param journal writes what must last
 * @param workers calls the workers
 * @param adviceDispatcher calls the advisor
 * @param timers runs actions later, on the thread that the cell is confined to
 * @param clock a steady clock
 * @param timeOfDay for the due times of timed jobs only
 * @param log told of each decision
 * @param metrics counters and histograms
 * @param limits the platform's bounds
 * @param meter counts bytes and processor time
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

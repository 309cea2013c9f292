package org.masticspread.cell.testing;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.masticspread.cell.engine.AdviceDispatcher;
import org.masticspread.cell.engine.Cell;
import org.masticspread.cell.engine.CellLimits;
import org.masticspread.cell.engine.CellPorts;
import org.masticspread.cell.engine.PriorityAdviceDispatcher;
import org.masticspread.cell.journal.EndedRecord;
import org.masticspread.cell.journal.HeadRecord;
import org.masticspread.cell.journal.JobRecord;
import org.masticspread.cell.journal.Journal;
import org.masticspread.cell.journal.LeaderRecord;
import org.masticspread.cell.journal.ProgressRecord;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.journal.Term;
import org.masticspread.cell.journal.UsedWorkersRecord;
import org.masticspread.cell.load.LoadMeter;
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.port.TableCommit;
import org.masticspread.cell.port.TableCommit.Put;
import org.masticspread.cell.port.TableCommit.RowName;
import org.masticspread.cell.port.TableRow;
import org.masticspread.cell.port.WorkerEntry;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.JobState;
import org.masticspread.model.peer.AdviceReply;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellCall.Action;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.result.InvalidFieldException;

/** A cell on a store and workers in memory. */
public final class CellFixture {
  public static final CellLimits LIMITS =
      new CellLimits(
          Duration.ofSeconds(6),
          Duration.ofMillis(900),
          Duration.ofSeconds(3),
          Duration.ofSeconds(120),
          1.5,
          Duration.ofMillis(4500));

  public final VirtualTime time = new VirtualTime();
  public final FakeTable table = new FakeTable(time);
  public final FakeWorkers workers = new FakeWorkers(time);
  public final List<String> events = new ArrayList<>();
  public final MetricRegistry metrics = new MetricRegistry();
  private final CellConfig config;
  private final AdviceDispatcher.AdvisorClient advisor;
  private final DeskFactory desk;
  private final List<String> vms;
  public Cell cell;
  public Journal journal;
  public boolean fenced;

  /** Whether a new leader has read how earlier jobs ended. */
  public boolean endedJobsLoaded = true;

  /** Whether {@link #events} is filled; long runs switch it off. */
  public boolean keepEvents = true;

  /** The workers that the registry does not name to a new leader. */
  public final Set<String> unregistered = new HashSet<>();

  private long epoch;

  /** Creates a fixture without a leader, and an advisor that approves all after 10 ms. */
  public CellFixture(CellConfig config) {
    this.config = config;
    this.vms = List.of("vm");
    this.desk = CellFixture::newDesk;
    this.advisor =
        (vm, step, ids, timeout) ->
            Single.create(
                emitter ->
                    time.after(Duration.ofMillis(10), () -> emitter.onSuccess(approveAll(ids))));
  }

  /** Creates a fixture without a leader, whose advisor is called from some VMs. */
  public CellFixture(CellConfig config, AdvisorFactory advisor, List<String> vms) {
    this(config, advisor, vms, CellFixture::newDesk);
  }

  /** Creates a fixture whose advisor is asked by way of another desk. */
  public CellFixture(
      CellConfig config, AdvisorFactory advisor, List<String> vms, DeskFactory desk) {
    this.desk = desk;
    this.config = config;
    this.vms = vms;
    this.advisor = advisor.on(time);
  }

  private static AdviceDispatcher newDesk(
      AdviceDispatcher.AdvisorClient advisor, List<String> vms, VirtualTime time) {
    return new PriorityAdviceDispatcher(advisor, () -> vms, time);
  }

  /** Makes an advisor that takes its time from a clock. */
  @FunctionalInterface
  public interface AdvisorFactory {
    /** Returns the advisor. */
    AdviceDispatcher.AdvisorClient on(VirtualTime time);
  }

  /** Makes the desk at which a cell asks the advisor. */
  @FunctionalInterface
  public interface DeskFactory {
    /** Returns the desk. */
    AdviceDispatcher on(AdviceDispatcher.AdvisorClient advisor, List<String> vms, VirtualTime time);
  }

  /** Makes a new leader; the former cell goes on, as after a change that it has not noticed. */
  public CellFixture lead() {
    epoch++;
    Optional<TableRow> former = table.row(Rows.LEADER);
    TableCommit claim =
        new TableCommit(
            Rows.PART,
            List.of(
                new TableCommit.Expected(Rows.LEADER, former.map(TableRow::version).orElse(0L))),
            List.of(
                new Put(Rows.LEADER, Rows.encode(new LeaderRecord("vm", "life" + epoch, epoch))),
                new Put(Rows.HEAD, Rows.encode(new HeadRecord(epoch, 0)))),
            List.of());
    long version = table.apply(claim).version();
    Term term = new Term(epoch, version);
    EventLog log = (event, id, facts) -> keep(event, id, facts);
    journal =
        new Journal(
            table,
            time,
            time,
            log,
            term,
            new Journal.Listener() {
              @Override
              public void deposed() {
                fenced = true;
              }

              @Override
              public void storeReached(boolean reached) {
                // Looked at through the journal.
              }
            });
    cell =
        new Cell(
            new CellPorts(
                term,
                journal,
                workers,
                desk.on(advisor, vms, time),
                time,
                time,
                time,
                log,
                metrics,
                LIMITS,
                new LoadMeter(metrics, System::nanoTime)),
            config,
            () -> fenced = true);
    restore();
    for (WorkerEntry entry : workers.entries()) {
      if (!unregistered.contains(entry.id())) {
        cell.register(entry);
      }
    }
    restoreWorkers();
    cell.start();
    if (endedJobsLoaded) {
      cell.endedJobsLoaded();
    }
    return this;
  }

  private void restoreWorkers() {
    for (TableRow row : table.rowsOf(Rows.USED_WORKER_TABLE)) {
      try {
        cell.restoreWorkers(Rows.decode(UsedWorkersRecord.class, row.value()));
      } catch (InvalidFieldException e) {
        throw new AssertionError(e);
      }
    }
  }

  private static AdviceReply approveAll(List<String> ids) {
    return new AdviceReply(
        true, ids.stream().map(id -> new AdviceReply.Ticket(id, "t-" + id)).toList(), 2000);
  }

  private void keep(String event, String id, Object[] facts) {
    if (keepEvents) {
      events.add(event + " " + id + " " + List.of(facts));
    }
  }

  private void restore() {
    for (TableRow row : table.rowsOf(Rows.ENDED_TABLE)) {
      try {
        cell.restoreEnded(row.key(), Rows.decode(EndedRecord.class, row.value()).state());
      } catch (InvalidFieldException e) {
        throw new AssertionError(e);
      }
    }
    for (TableRow row : table.rowsOf(Rows.JOB_TABLE)) {
      try {
        JobRecord record = Rows.decode(JobRecord.class, row.value());
        Optional<TableRow> progress = table.row(new RowName(Rows.PROGRESS_TABLE, row.key()));
        cell.restore(
            record,
            progress.isEmpty()
                ? Optional.empty()
                : Optional.of(Rows.decode(ProgressRecord.class, progress.get().value())));
      } catch (InvalidFieldException e) {
        throw new AssertionError(e);
      }
    }
  }

  /** Sends a call; the list gets the reply when it comes. */
  public List<CellReply> call(Action action, String job, JobOrder order) {
    List<CellReply> replies = new ArrayList<>();
    String queue = order == null ? "checks" : order.queue();
    cell.handle(new CellCall(action, queue, 1, job, order), replies::add);
    return replies;
  }

  /** Submits a job; the list gets the reply when it comes. */
  public List<CellReply> submit(JobOrder order) {
    return call(Action.SUBMIT, order.id(), order);
  }

  /** Submits a job and lets it become durable. */
  public CellReply accept(JobOrder order) {
    List<CellReply> replies = submit(order);
    time.pass(Duration.ofMillis(30));
    return replies.get(0);
  }

  /** Returns the state that callers see. */
  public JobState state(String job) {
    List<CellReply> replies = call(Action.SHOW, job, null);
    time.pass(Duration.ofMillis(1));
    return replies.get(0).state();
  }

  /** Counts the starts of a task that workers carried out. */
  public long startsOf(String task) {
    return workers.starts().stream().filter(start -> start.contains(" " + task + " ")).count();
  }
}

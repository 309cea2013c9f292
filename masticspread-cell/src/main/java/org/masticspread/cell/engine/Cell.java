package org.masticspread.cell.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.masticspread.cell.journal.JobRecord;
import org.masticspread.cell.journal.ProgressRecord;
import org.masticspread.cell.journal.UsedWorkersRecord;
import org.masticspread.cell.policy.Admission;
import org.masticspread.cell.policy.Placement;
import org.masticspread.cell.policy.Shedding;
import org.masticspread.cell.port.WorkerEntry;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.JobState;
import org.masticspread.model.cell.QueueRule;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellReply;

/**
 * The scheduler of a cell for one epoch of leadership. It accepts jobs, starts their tasks on
 * workers under leases, and sees them to their end. All calls come from one thread, that of {@link
 * CellPorts#timers()}.
 *
 * <pre>{@code
 * Cell cell = new Cell(ports, () -> leadership.resign("fenced"));
 * cell.configure(config);
 * cell.restore(record, progress);
 * cell.register(entry);
 * cell.start();
 * cell.handle(call, reply -> send(reply));
 * }</pre>
 */
public final class Cell {
  /** A worker's clock may be 2 % slow by the platform's contract. */
  static final double SLOWEST_CLOCK = 1.0205;

  /** Added to the end of a lease: what it killed may take a moment to be gone. */
  static final Duration LAPSE_MARGIN = Duration.ofMillis(150);

  /**
   * The length of a lease: longer than a change of the leader with a restart of its process, short
   * enough that the work of a lost worker comes back within the stretch of most jobs.
   */
  private static final Duration LEASE = Duration.ofMillis(3500);

  /** How often expired leases, standing tasks and due occurrences are looked for. */
  private static final Duration TICK = Duration.ofMillis(100);

  /** Collects the events of a moment in one pass, which looks at all workers. */
  private static final Duration PASS_DELAY = Duration.ofMillis(4);

  /** Between two passes for each worker, since a pass looks at each. */
  private static final Duration PASS_PER_WORKER = Duration.ofNanos(15_000);

  /** Between two passes there is this many times as long as a pass takes. */
  private static final int PASS_REST = 2;

  /** A slow VM passes at least so often: a check has some 250 ms beside its work. */
  private static final Duration LONGEST_REST = Duration.ofMillis(60);

  private static final double PASS_WEIGHT = 0.2;

  /** A commit without an answer for so long: a job handed in now could not be stored in time. */
  private static final Duration STORE_AWAY = Duration.ofMillis(700);

  /** Commits that fail for a moment only are not worth a refusal. */
  private static final Duration WITHDRAW_AFTER = Duration.ofMillis(200);

  /** When a caller may come back that was refused since the store is away: callers wait 3 s. */
  private static final Duration STORE_RETRY = Duration.ofSeconds(1);

  /**
   * When a caller may come back that was refused since the leader is behind: a burst is over then.
   */
  private static final Duration BEHIND_RETRY = Duration.ofSeconds(1);

  private static final Duration BEHIND_SPREAD = Duration.ofSeconds(3);

  /** How long a call waits for a configuration that its sender has already seen. */
  private static final Duration CONFIG_WAIT = Duration.ofMillis(40);

  private static final int MOST_CONFIG_WAITS = 20;

  /** Runs are numbered from here in each epoch; no task is started so often in one. */
  private static final long RUNS_PER_EPOCH = 1000;

  private final CellPorts ports;
  private final Runnable whenFenced;
  private final Fleet fleet;
  private final JobBook jobs;
  private final Launcher launcher;
  private final Scheduler scheduler;
  private final Renewals renewals;
  private final Backlog backlog;
  private final UsedWorkers usedWorkers;
  private final Shedding shedding = new Shedding();
  private CellConfig config;
  private boolean closed;
  private boolean paused;
  private boolean passScheduled;
  private long ticks;
  private double passMillis;

  /** Calls about jobs that may have ended under an earlier leader. */
  private final List<Runnable> untilEndedKnown = new ArrayList<>();

  private boolean endedJobsLoaded;

  /** The calls that wait for something to become durable. */
  private final Set<Consumer<CellReply>> waiting = new LinkedHashSet<>();

  /**
   * Creates a cell that holds nothing yet.
   *
   * @param ports what it works with
   * @param config the configuration
   * @param whenFenced told when a worker has seen a higher token
   */
  public Cell(CellPorts ports, CellConfig config, Runnable whenFenced) {
    this.ports = ports;
    this.config = config;
    this.whenFenced = whenFenced;
    this.fleet = new Fleet(ports.clock(), ports.log());
    this.usedWorkers = new UsedWorkers(ports, fleet, this);
    this.jobs = new JobBook(ports);
    this.launcher = new Launcher(ports, fleet, this);
    Reports reports = new Reports(ports, jobs, fleet, this, launcher);
    this.backlog = new Backlog(ports, jobs, fleet, this);
    this.scheduler = new Scheduler(ports, jobs, fleet, this, launcher);
    this.renewals = new Renewals(ports, fleet, this, launcher, reports);
  }

  /**
   * Takes over a job that an earlier leader accepted. Only before {@link #start}.
   *
   * @param record its order
   * @param progress its progress, if any was written
   */
  public void restore(JobRecord record, Optional<ProgressRecord> progress) {
    jobs.restore(record, progress);
  }

  /**
   * Takes over a job that ended under an earlier leader.
   *
   * @param id the job
   * @param state how it ended
   */
  public void restoreEnded(String id, JobState state) {
    jobs.restoreEnded(id, state);
  }

  /**
   * Takes over the workers that earlier leaders may have used. Only before {@link #start}, and
   * after the registry was read.
   *
   * @param record the workers
   */
  public void restoreWorkers(UsedWorkersRecord record) {
    for (UsedWorkersRecord.Used used : record.workers()) {
      if (usedWorkers.restore(used)) {
        fleet.find(used.id()).ifPresent(this::ask);
      }
    }
  }

  /** Tells that all jobs that ended under earlier leaders are known; unknown ones are new. */
  public void endedJobsLoaded() {
    endedJobsLoaded = true;
    List<Runnable> calls = List.copyOf(untilEndedKnown);
    untilEndedKnown.clear();
    calls.forEach(Runnable::run);
  }

  /** Starts to work. */
  public void start() {
    usedWorkers.begin();
    tick();
  }

  /** Ends: nothing more is started, renewed or written. */
  public void close() {
    closed = true;
    ports.journal().close();
    List<Consumer<CellReply>> open = List.copyOf(waiting);
    waiting.clear();
    open.forEach(r -> r.accept(CellReply.of(CellReply.Outcome.UNCERTAIN, "leader changed")));
  }

  /**
   * Tells whether the cell has ended.
   *
   * @return whether {@link #close} was called
   */
  public boolean closed() {
    return closed;
  }

  /**
   * Starts no new task while paused, as while another VM takes over.
   *
   * @param value whether to pause
   */
  public void pause(boolean value) {
    paused = value;
    requestPass();
  }

  boolean paused() {
    return paused;
  }

  /**
   * Applies a newer configuration.
   *
   * @param newer the configuration
   */
  public void configure(CellConfig newer) {
    if (newer.version() > config.version()) {
      config = newer;
      requestPass();
    }
  }

  /**
   * Counts the jobs that have not ended.
   *
   * @return the count
   */
  public int openJobs() {
    return jobs.open().size();
  }

  /**
   * Counts the workers.
   *
   * @return the count
   */
  public int workers() {
    return fleet.all().size();
  }

  /**
   * Counts the workers that may get a new task.
   *
   * @return the count
   */
  public int usableWorkers() {
    return (int) List.copyOf(fleet.all()).stream().filter(fleet::usable).count();
  }

  Optional<QueueRule> queue(Job job) {
    return config.queue(job.order.queue());
  }

  long runBase() {
    return (ports.term().epoch() - 1) * RUNS_PER_EPOCH;
  }

  long leaseMillis() {
    return Math.min(LEASE.toMillis(), ports.limits().maxLease().toMillis());
  }

  /**
   * Takes in an entry of the registry.
   *
   * @param entry the entry
   */
  public void register(WorkerEntry entry) {
    Optional<Worker> added = fleet.register(entry);
    added.ifPresent(this::ask);
    fleet.find(entry.id()).ifPresent(usedWorkers::list);
    requestPass();
  }

  /** Asks a worker for the first time what it runs. */
  private void ask(Worker worker) {
    // An earlier leader may have renewed its lease until just before it was deposed.
    long lease = (long) (leaseMillis() * SLOWEST_CLOCK) + 2 * LAPSE_MARGIN.toMillis();
    worker.unheardUntilMillis = now() + (usedWorkers.mayBeUsed(worker) ? lease : 0);
    renew(worker);
  }

  /**
   * Takes in that an entry has left the registry.
   *
   * @param id the worker
   */
  public void unregister(String id) {
    fleet.unregister(id);
  }

  /**
   * Takes in which workers the registry holds, after its changes could not be followed.
   *
   * @param ids all its workers
   */
  public void retainAll(List<String> ids) {
    for (Worker worker : fleet.all()) {
      if (!ids.contains(worker.id())) {
        fleet.unregister(worker.id());
      }
    }
  }

  /**
   * Answers a call of a caller, when what it says is durable.
   *
   * @param call the call
   * @param reply gets the answer; uncertain if this cell is closed before
   */
  public void handle(CellCall call, Consumer<CellReply> reply) {
    if (closed) {
      reply.accept(CellReply.of(CellReply.Outcome.NOT_LEADING, "closed"));
      return;
    }
    waiting.add(reply);
    Consumer<CellReply> once =
        answer -> {
          if (waiting.remove(reply)) {
            reply.accept(answer);
          }
        };
    ports.meter().timed("call." + call.action(), () -> handle(call, once, 0));
  }

  private void handle(CellCall call, Consumer<CellReply> reply, int waits) {
    if (closed) {
      return;
    }
    if (call.configVersion() > config.version() && waits < MOST_CONFIG_WAITS) {
      ports.timers().after(CONFIG_WAIT, () -> handle(call, reply, waits + 1));
      return;
    }
    boolean aboutJob = call.action() != CellCall.Action.COUNT;
    if (aboutJob && !endedJobsLoaded && jobs.find(call.job()).isEmpty()) {
      untilEndedKnown.add(() -> handle(call, reply, waits));
      return;
    }
    switch (call.action()) {
      case SUBMIT -> submit(call.order(), reply);
      case SHOW -> show(call.job(), reply);
      case CANCEL -> cancel(call.job(), reply);
      case COUNT ->
          reply.accept(
              new CellReply(CellReply.Outcome.COUNTED, null, jobs.waiting(call.queue()), 0, ""));
      default -> throw new IllegalStateException("action: " + call.action());
    }
  }

  private void submit(JobOrder order, Consumer<CellReply> reply) {
    if (jobs.ended(order.id()).isPresent()) {
      reply.accept(CellReply.of(CellReply.Outcome.ACCEPTED, "it has ended"));
      return;
    }
    Optional<Job> known = jobs.find(order.id());
    if (known.isEmpty()) {
      Optional<QueueRule> queue = config.queue(order.queue());
      if (queue.isEmpty()) {
        refuse(order, reply, Duration.ofSeconds(1), "no such queue");
        return;
      }
      if (storeAway()) {
        ports.metrics().counter("refused.store").inc();
        refuse(order, reply, STORE_RETRY, "the store does not answer");
        return;
      }
      if (!admit(order, queue.get(), reply)) {
        return;
      }
      Job job = jobs.accept(order);
      backlog.accepted(order, queue.get());
      ports
          .journal()
          .whenDurable(
              () -> {
                job.durable = true;
                requestPass();
              });
    }
    Job job = jobs.find(order.id()).orElseThrow();
    long begun = now();
    job.callers.add(reply);
    ports
        .journal()
        .whenDurable(
            () -> {
              if (job.durable) {
                ports.metrics().histogram("accept.ms").update(now() - begun);
                reply.accept(CellReply.of(CellReply.Outcome.ACCEPTED, ""));
              }
            });
  }

  /** Commits fail or have no answer for longer than on a slow store. */
  private boolean storeAway() {
    return !ports.journal().failingFor().isZero()
        || ports.journal().stalledFor().compareTo(STORE_AWAY) >= 0;
  }

  /** Gives back jobs that cannot be stored now and certainly are not. */
  private void withdrawUnstored() {
    if (ports.journal().failingFor().compareTo(WITHDRAW_AFTER) < 0
        && ports.journal().stalledFor().compareTo(STORE_AWAY) < 0) {
      return;
    }
    for (Job job : jobs.accepting()) {
      if (!jobs.withdraw(job)) {
        continue;
      }
      ports.metrics().counter("refused.store").inc();
      for (Consumer<CellReply> caller : job.callers) {
        refuse(job.order, caller, STORE_RETRY, "it could not be stored");
      }
    }
  }

  private boolean admit(JobOrder order, QueueRule queue, Consumer<CellReply> reply) {
    if (order.recurrence().timed() || order.steps().stream().anyMatch(StepSpec::lasting)) {
      return true;
    }
    Admission.Facts facts = backlog.facts(order, queue);
    Duration behind = launcher.startLatency();
    if (!shedding.admits(queue.name(), behind, facts.objective().minus(facts.path()))) {
      ports.metrics().counter("refused.behind").inc();
      refuse(order, reply, spread(order), "the leader is " + behind.toMillis() + " ms behind");
      return false;
    }
    Admission.Decision decision = Admission.decide(facts);
    if (decision.accepted()) {
      ports
          .log()
          .event(
              "job-accept",
              order.id(),
              "queue",
              order.queue(),
              "expectedMs",
              decision.expected().toMillis(),
              "objectiveMs",
              facts.objective().toMillis(),
              "waitingCoreMs",
              facts.waitingCoreMillis(),
              "freeMillicores",
              facts.freeMillicores(),
              "capacityMillicores",
              facts.capacityMillicores());
      return true;
    }
    ports.metrics().counter("refused.backlog").inc();
    refuse(
        order,
        reply,
        decision.retryAfter(),
        "would be done in "
            + decision.expected().toMillis()
            + " ms, wanted in "
            + facts.objective().toMillis());
    return false;
  }

  /** Callers that are refused together come back one after the other. */
  private static Duration spread(JobOrder order) {
    int apart = Math.floorMod(order.id().hashCode(), (int) BEHIND_SPREAD.toMillis());
    return BEHIND_RETRY.plusMillis(apart);
  }

  /**
   * Returns how far this VM is behind with its own work.
   *
   * @return the time that its orders take beside that at the workers
   */
  public Duration startLatency() {
    return launcher.startLatency();
  }

  private void refuse(
      JobOrder order, Consumer<CellReply> reply, Duration retryAfter, String reason) {
    ports
        .log()
        .event(
            "job-refuse",
            order.id(),
            "queue",
            order.queue(),
            "reason",
            reason,
            "retryAfterMs",
            retryAfter.toMillis());
    reply.accept(
        new CellReply(CellReply.Outcome.REFUSED, null, 0, (int) retryAfter.toMillis(), reason));
  }

  private void show(String id, Consumer<CellReply> reply) {
    Optional<JobState> ended = jobs.ended(id);
    if (ended.isPresent()) {
      reply.accept(new CellReply(CellReply.Outcome.SHOWN, ended.get(), 0, 0, ""));
      return;
    }
    Optional<Job> job = jobs.find(id);
    if (job.isEmpty()) {
      reply.accept(CellReply.of(CellReply.Outcome.UNKNOWN_JOB, ""));
      return;
    }
    if (!job.get().durable) {
      ports.journal().whenDurable(() -> show(id, reply));
      return;
    }
    reply.accept(new CellReply(CellReply.Outcome.SHOWN, job.get().shown, 0, 0, ""));
  }

  private void cancel(String id, Consumer<CellReply> reply) {
    if (jobs.ended(id).isPresent()) {
      reply.accept(CellReply.of(CellReply.Outcome.CANCELLED, "it has ended"));
      return;
    }
    Optional<Job> job = jobs.find(id);
    if (job.isEmpty()) {
      reply.accept(CellReply.of(CellReply.Outcome.UNKNOWN_JOB, ""));
      return;
    }
    if (!job.get().state.ended()) {
      ports
          .log()
          .event(
              "job-cancel",
              id,
              "ageMs",
              now() - job.get().acceptedMillis,
              "state",
              job.get().state);
      endEarly(job.get(), JobState.CANCELLED);
    }
    ports.journal().whenDurable(() -> reply.accept(CellReply.of(CellReply.Outcome.CANCELLED, "")));
  }

  /** Ends a job and stops what it runs. */
  void endEarly(Job job, JobState state) {
    jobs.end(job, state);
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        for (Task task : step.tasks) {
          if (task.run() != null) {
            launcher.stop(task.run(), "job " + state);
          }
        }
      }
    }
    requestPass();
  }

  /** Notes that a run is certainly over. */
  void over(Run run, String reason) {
    run.worker.release(run);
    Task task = run.task;
    if (task == null || task.run() != run) {
      return;
    }
    task.run(null);
    if (!task.succeeded && !task.step.job.state.ended()) {
      ports.log().event("task-waits-again", task.name, "run", run.number, "reason", reason);
      if (task.step.spec.gang() && !reason.equals("ended")) {
        stopGang(task.step, run.number, reason);
      }
    }
    requestPass();
  }

  private void stopGang(Step step, long number, String reason) {
    for (Task member : step.tasks) {
      if (member.run() != null && member.run().number == number) {
        launcher.stop(member.run(), "gang member " + reason);
      }
    }
  }

  /** A worker has seen a higher token: another VM leads. */
  void fenced(Worker worker) {
    ports.log().event("cell-fenced", worker.id(), "epoch", ports.term().epoch());
    whenFenced.run();
  }

  /** Renews the lease of a worker, unless a call is on its way. */
  void renew(Worker worker) {
    renewals.renew(worker);
  }

  private void tick() {
    if (closed) {
      return;
    }
    ticks++;
    ports.meter().timed("tick", this::lookAtWorkers);
    withdrawUnstored();
    ports.adviceDispatcher().dispatch();
    jobs.openOccurrences();
    if (ticks % 5 == 0) {
      ports.metrics().histogram("cell.free.permille").update(fleet.freeShare(false));
      ports.metrics().histogram("cell.awaited.permille").update(fleet.freeShare(true));
    }
    if (ticks % 50 == 0) {
      jobs.dropOld();
    }
    requestPass();
    ports.timers().after(TICK, this::tick);
  }

  private void pass() {
    long begun = now();
    ports.meter().timed("pass", scheduler::pass);
    passMillis += PASS_WEIGHT * (now() - begun - passMillis);
  }

  private Duration rest() {
    Duration wanted = Duration.ofMillis((long) (PASS_REST * passMillis));
    Duration bounded = wanted.compareTo(LONGEST_REST) > 0 ? LONGEST_REST : wanted;
    return PASS_DELAY.plus(PASS_PER_WORKER.multipliedBy(fleet.all().size())).plus(bounded);
  }

  private void lookAtWorkers() {
    for (Worker worker : List.copyOf(fleet.all())) {
      renewals.lapse(worker);
      renewals.findStanding(worker);
      usedWorkers.review(worker);
    }
  }

  /** Plans again soon. */
  void requestPass() {
    if (closed || passScheduled) {
      return;
    }
    passScheduled = true;
    ports
        .timers()
        .after(
            rest(),
            () -> {
              passScheduled = false;
              if (!closed && !paused) {
                pass();
              }
            });
  }

  /**
   * Returns the time of day, for the due times of timed jobs.
   *
   * @return the time
   */
  Instant timeOfDay() {
    return ports.timeOfDay().instant();
  }

  /** Returns how long a task of a step is expected to run on a worker of speed 1, in ms. */
  long expectedMillis(QueueRule queue, StepSpec spec) {
    return (long) fleet.speeds.expectedMillis(queue.name(), spec.estimate().toMillis());
  }

  double slowdown(Worker worker, StepSpec step) {
    return Placement.slowdown(worker, step, ports.limits().crossRackSlowdown());
  }

  private long now() {
    return ports.clock().millis();
  }
}

package org.masticspread.cell.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.masticspread.cell.journal.EndedRecord;
import org.masticspread.cell.journal.JobRecord;
import org.masticspread.cell.journal.ProgressRecord;
import org.masticspread.cell.journal.QueueRecord;
import org.masticspread.cell.journal.TeamRecord;
import org.masticspread.cell.journal.UsedWorkersRecord;
import org.masticspread.cell.policy.Admission;
import org.masticspread.cell.policy.LoadShedder;
import org.masticspread.cell.policy.Placement;
import org.masticspread.cell.port.WorkerEntry;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.JobState;
import org.masticspread.model.cell.QueueRule;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.cell.Teams;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellReply;

/**
 * The scheduler of a cell for one epoch of leadership. It accepts jobs, starts their tasks on
 * workers under leases and tracks the tasks until they end. All calls must come from the thread of
 * {@link CellPorts#timers()}.
 *
 * <pre>{@code
 * Cell cell = new Cell(ports, config, () -> leadership.resign("fenced"));
 * cell.restore(record, progress);
 * cell.register(entry);
 * cell.start();
 * cell.handle(call, reply -> send(reply));
 * }</pre>
 */
public final class Cell {
  /** How much longer a lease may last on a worker's clock, which may be 2 % slow by contract. */
  static final double CLOCK_DRIFT_FACTOR = 1.0205;

  /** Added to the end of a lease, since tasks that it kills may take a moment to stop. */
  static final Duration LEASE_EXPIRY_MARGIN = Duration.ofMillis(150);

  /**
   * Duration of a lease: longer than a failover with a restart of the leader's process, and short
   * enough that tasks of a lost worker are restarted within the stretch of most jobs.
   */
  private static final Duration LEASE = Duration.ofMillis(3500);

  /** Interval of the checks for expired leases, stalled tasks and due occurrences. */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

  /** Delay that lets one scheduling pass, which visits all workers, serve several events. */
  private static final Duration BASE_PASS_DELAY = Duration.ofMillis(4);

  /** Added to the delay for each worker, since a pass visits each one. */
  private static final Duration PASS_DELAY_PER_WORKER = Duration.ofNanos(15_000);

  /** Multiple of the mean duration of a pass that is added to the delay, to bound processor use. */
  private static final int PASS_DURATION_FACTOR = 2;

  /**
   * Limit of the duration-based delay, so that a slow VM also runs passes often enough: a check has
   * about 250 ms beyond its run time.
   */
  private static final Duration MAX_DURATION_DELAY = Duration.ofMillis(60);

  /** Weight of the latest pass in the moving average of pass durations. */
  private static final double PASS_DURATION_EWMA_WEIGHT = 0.2;

  /**
   * Age of an unanswered commit from which jobs are refused, since they could not be stored in
   * time.
   */
  private static final Duration STORE_STALLED_AFTER = Duration.ofMillis(700);

  /**
   * How long commits must fail before unstored jobs are withdrawn; short failures are tolerated.
   */
  private static final Duration WITHDRAW_AFTER = Duration.ofMillis(200);

  /** Retry delay told to callers while the store is unavailable; callers wait 3 s in all. */
  private static final Duration STORE_RETRY_AFTER = Duration.ofSeconds(1);

  /**
   * Minimum retry delay told to callers while the leader is overloaded; a burst is normally over by
   * then.
   */
  private static final Duration OVERLOAD_RETRY_AFTER = Duration.ofSeconds(1);

  /** Range of the jitter added to {@link #OVERLOAD_RETRY_AFTER}. */
  private static final Duration OVERLOAD_RETRY_JITTER = Duration.ofSeconds(3);

  /** Interval at which a call checks for a configuration version that its sender already uses. */
  private static final Duration CONFIG_POLL_INTERVAL = Duration.ofMillis(40);

  /** Number of checks after which a job is refused, since its queue cannot be known. */
  private static final int MAX_CONFIG_POLLS = 20;

  /** Retry delay told to callers until the configuration that their VM uses is read. */
  private static final Duration CONFIG_RETRY_AFTER = Duration.ofSeconds(1);

  /** Retry delay told to callers of a job that no cap in force lets run; a repeat fails as well. */
  private static final Duration CAP_RETRY_AFTER = Duration.ofSeconds(20);

  /** Run numbers reserved for each epoch; no task is started this often in one. */
  private static final long RUN_NUMBERS_PER_EPOCH = 1000;

  private final CellPorts ports;
  private final Runnable onFenced;
  private final Fleet fleet;
  private final LeadershipProof leadershipProof;
  private final InheritedLeases inheritedLeases;
  private final JobStore jobs;
  private final Launcher launcher;
  private final Scheduler scheduler;
  private final LeaseRenewer leaseRenewer;
  private final Backlog backlog;
  private final UsedWorkers usedWorkers;
  private final Incarnations incarnations;
  private final QueueRules queueRules;
  private final TeamQuotas quotas;
  private final LoadShedder loadShedder = new LoadShedder();
  private final TeamMarks teamMarks;
  private boolean closed;
  private boolean paused;
  private boolean passScheduled;
  private long ticks;
  private double meanPassMillis;

  private final EndedJobLookups endedJobs = new EndedJobLookups(this::restoreEnded);

  /** The callers that have not got a reply yet. */
  private final Set<Consumer<CellReply>> pendingReplies = new LinkedHashSet<>();

  /**
   * Creates a cell without jobs and workers.
   *
   * @param ports the collaborators
   * @param config the configuration
   * @param onFenced called when a worker has seen a higher fencing token
   */
  public Cell(CellPorts ports, CellConfig config, Runnable onFenced) {
    this.ports = ports;
    this.queueRules = new QueueRules(ports, config);
    this.onFenced = onFenced;
    this.inheritedLeases = new InheritedLeases(ports);
    this.jobs = new JobStore(ports);
    this.quotas = new TeamQuotas(ports, config, jobs);
    this.fleet = new Fleet(ports.clock(), ports.log(), inheritedLeases, quotas);
    this.leadershipProof = new LeadershipProof(ports, fleet);
    this.usedWorkers = new UsedWorkers(ports, fleet, this, inheritedLeases);
    this.incarnations = new Incarnations(ports, fleet, this, usedWorkers, inheritedLeases);
    this.teamMarks = new TeamMarks(ports.clock());
    this.launcher = new Launcher(ports, fleet, this);
    WorkerReportHandler reportHandler = new WorkerReportHandler(ports, jobs, fleet, this, launcher);
    this.backlog = new Backlog(ports, jobs, fleet, this, quotas);
    this.scheduler = new Scheduler(ports, jobs, fleet, this, launcher, quotas);
    this.leaseRenewer = new LeaseRenewer(ports, fleet, this, launcher, reportHandler);
  }

  /**
   * Restores a job that an earlier leader accepted. To be called before {@link #start}.
   *
   * @param record the stored job
   * @param progress the stored progress, if any
   */
  public void restore(JobRecord record, Optional<ProgressRecord> progress) {
    jobs.restore(record, progress);
  }

  /**
   * Restores a job that ended under an earlier leader.
   *
   * @param id the id of the job
   * @param record what is stored about its end
   */
  public void restoreEnded(String id, EndedRecord record) {
    if (jobs.find(id).isPresent() || jobs.ended(id).isPresent()) {
      // A call about the job has restored it already, or it has ended under this leader.
      return;
    }
    jobs.restoreEnded(id, record);
    quotas.jobEnded(record);
  }

  /**
   * Restores the cap of a team that earlier leaders stored. To be called before {@link #start}.
   *
   * @param record the stored cap
   */
  public void restoreTeam(TeamRecord record) {
    quotas.caps().restore(record);
  }

  /**
   * Restores the rule of a queue that earlier leaders stored. To be called before {@link #start}.
   *
   * @param record the stored rule
   */
  public void restoreQueue(QueueRecord record) {
    queueRules.restore(record);
  }

  /**
   * Restores workers that earlier leaders may have used. To be called before {@link #start} and
   * after the registry has been read.
   *
   * @param record the stored workers
   */
  public void restoreWorkers(UsedWorkersRecord record) {
    for (UsedWorkersRecord.Used used : record.workers()) {
      if (usedWorkers.restore(used)) {
        fleet.find(used.id()).ifPresent(this::startRenewing);
      }
    }
  }

  /**
   * Signals that all jobs that ended under earlier leaders are restored; from now on, unknown jobs
   * are new.
   */
  public void endedJobsLoaded() {
    quotas.endedJobsLoaded();
    endedJobs.allLoaded();
  }

  /**
   * Sets what reads the end of one job that ended under an earlier leader. Until all of them are
   * restored, calls about unknown jobs wait only for this.
   *
   * @param reader reads the end of a job after the takeover, and passes it on once; empty if the
   *     job has not ended
   */
  public void readEndedJobsWith(BiConsumer<String, Consumer<Optional<EndedRecord>>> reader) {
    endedJobs.readWith(reader);
  }

  /** Starts scheduling. */
  public void start() {
    queueRules.update(jobs.open());
    quotas.caps().update(jobs.open());
    usedWorkers.start();
    inheritedLeases.start();
    tick();
  }

  /**
   * Returns whether it is known when the leases that former leaders granted expire.
   *
   * @return whether it is known
   */
  public boolean inheritedLeaseEndKnown() {
    return inheritedLeases.endKnown();
  }

  /**
   * Signals that no former leader acts any more.
   *
   * @param reason what showed it, for the log
   */
  public void formerLeadersEnded(String reason) {
    inheritedLeases.formerLeadersEnded(reason);
  }

  /**
   * Returns whether there is a recent proof that no other VM has taken the cell over. Without one
   * the cell starts, renews and stops nothing.
   *
   * @return whether the cell may act
   */
  public boolean leads() {
    return !closed && leadershipProof.holds();
  }

  /** Closes the cell: nothing is started, renewed or written any more. */
  public void close() {
    closed = true;
    ports.journal().close();
    List<Consumer<CellReply>> open = List.copyOf(pendingReplies);
    pendingReplies.clear();
    open.forEach(r -> r.accept(CellReply.of(CellReply.Outcome.UNCERTAIN, "leader changed")));
  }

  /**
   * Returns whether the cell is closed.
   *
   * @return whether {@link #close} was called
   */
  public boolean closed() {
    return closed;
  }

  /**
   * Pauses or resumes starting tasks; paused while another VM takes over.
   *
   * @param value true to pause
   */
  public void pause(boolean value) {
    paused = value;
    requestPass();
  }

  boolean paused() {
    return paused;
  }

  /**
   * Applies a configuration, if it is newer than the one in force.
   *
   * @param newer the configuration
   */
  public void configure(CellConfig newer) {
    if (newer.version() > config().version()) {
      queueRules.configure(newer);
      quotas.caps().configure(newer);
      teamMarks.configure(newer.teams());
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

  long configVersion() {
    return config().version();
  }

  /** Returns the teams of the configuration in force. */
  Teams teams() {
    return config().teams();
  }

  private CellConfig config() {
    return queueRules.config();
  }

  /** Returns the rule of a job's queue, which may have left the configuration. */
  Optional<QueueRule> queue(Job job) {
    return queueRules.find(job.order.queue());
  }

  long runNumberBase() {
    return (ports.term().epoch() - 1) * RUN_NUMBERS_PER_EPOCH;
  }

  /** Returns the duration of a lease that is granted now. */
  long leaseMillis() {
    long longest = Math.min(LEASE.toMillis(), ports.limits().maxLease().toMillis());
    return Math.min(longest, leadershipProof.maxLeaseMillis());
  }

  /**
   * Adds or updates a worker.
   *
   * @param entry its registry entry
   */
  public void register(WorkerEntry entry) {
    Optional<Worker> added = fleet.register(entry);
    added.ifPresent(this::startRenewing);
    fleet.find(entry.id()).ifPresent(usedWorkers::ensureListed);
    fleet.find(entry.id()).ifPresent(incarnations::registered);
    requestPass();
  }

  /** Sends the first renewal to a worker; the answer reports what it runs. */
  private void startRenewing(Worker worker) {
    worker.mayHoldInheritedLease = usedWorkers.mayBeUsed(worker);
    renew(worker);
  }

  /**
   * Marks a worker as removed from the registry.
   *
   * @param id the id of the worker
   */
  public void unregister(String id) {
    fleet.unregister(id);
  }

  /**
   * Marks all workers except the given ones as removed. Used after changes of the registry were
   * missed.
   *
   * @param ids the ids of all registered workers
   */
  public void retainAll(List<String> ids) {
    for (Worker worker : fleet.all()) {
      if (!ids.contains(worker.id())) {
        fleet.unregister(worker.id());
      }
    }
  }

  /**
   * Handles a call, and replies once what the reply states is durable.
   *
   * @param call the call
   * @param reply receives the reply; its outcome is uncertain if the cell is closed first
   */
  public void handle(CellCall call, Consumer<CellReply> reply) {
    if (closed) {
      reply.accept(CellReply.of(CellReply.Outcome.NOT_LEADING, "closed"));
      return;
    }
    pendingReplies.add(reply);
    Consumer<CellReply> once =
        answer -> {
          if (pendingReplies.remove(reply)) {
            reply.accept(answer);
          }
        };
    ports.meter().timed("call." + call.action(), () -> handle(call, once, 0));
  }

  private void handle(CellCall call, Consumer<CellReply> reply, int polls) {
    if (closed) {
      return;
    }
    if (needsNewerConfig(call)) {
      if (polls >= MAX_CONFIG_POLLS) {
        refuse(
            call.order(),
            reply,
            CONFIG_RETRY_AFTER,
            "configuration " + call.configVersion() + " has not been read yet");
        return;
      }
      ports.timers().after(CONFIG_POLL_INTERVAL, () -> handle(call, reply, polls + 1));
      return;
    }
    if (call.configVersion() < config().version() && config().queue(call.queue()).isEmpty()) {
      ports
          .log()
          .event(
              "call-no-queue",
              call.queue(),
              "action",
              call.action(),
              "config",
              config().version(),
              "callerConfig",
              call.configVersion());
      reply.accept(CellReply.of(CellReply.Outcome.UNKNOWN_QUEUE, "the queue was dropped"));
      return;
    }
    boolean aboutJob = call.action() != CellCall.Action.COUNT;
    boolean unknown = jobs.find(call.job()).isEmpty() && jobs.ended(call.job()).isEmpty();
    if (aboutJob && unknown && !endedJobs.decided(call.job())) {
      endedJobs.await(call.job(), () -> handle(call, reply, polls));
      return;
    }
    if (aboutJob && ofOtherTeam(call)) {
      ports.metrics().counter("calls.forbidden").inc();
      ports.log().event("call-forbidden", call.job(), "action", call.action(), "team", call.team());
      reply.accept(CellReply.of(CellReply.Outcome.FORBIDDEN, "the job belongs to another team"));
      return;
    }
    switch (call.action()) {
      case SUBMIT -> submit(call.order(), reply);
      case SHOW -> show(call.job(), false, reply);
      case CANCEL -> cancel(call.job(), false, reply);
      case COUNT ->
          reply.accept(
              new CellReply(
                  CellReply.Outcome.COUNTED, null, jobs.queuedCount(call.queue()), 0, ""));
      default -> throw new IllegalStateException("action: " + call.action());
    }
  }

  /**
   * Returns whether the job of a call belongs to another team. A call without a key came over a
   * public route, or from a VM where keys are not required.
   */
  private boolean ofOtherTeam(CellCall call) {
    String owner = jobs.team(call.job()).orElse("");
    String caller = call.order() == null ? call.team() : call.order().team();
    if (owner.isEmpty() || owner.equals(caller)) {
      return false;
    }
    String queue = jobs.find(call.job()).map(job -> job.order.queue()).orElse(call.queue());
    boolean publicJob = queueRules.find(queue).map(QueueRule::publicAccess).orElse(false);
    return !caller.isEmpty() || !(publicJob || config().teams().isEmpty());
  }

  /** Returns whether the sender of a new job chose its queue by a newer configuration. */
  private boolean needsNewerConfig(CellCall call) {
    return call.action() == CellCall.Action.SUBMIT
        && call.configVersion() > config().version()
        && jobs.find(call.job()).isEmpty()
        && jobs.ended(call.job()).isEmpty();
  }

  private void submit(JobOrder order, Consumer<CellReply> reply) {
    if (jobs.ended(order.id()).isPresent()) {
      reply.accept(CellReply.of(CellReply.Outcome.ACCEPTED, "the job has ended"));
      return;
    }
    Optional<Job> known = jobs.find(order.id());
    if (known.isEmpty()) {
      Optional<QueueRule> queue = config().queue(order.queue());
      if (queue.isEmpty()) {
        refuse(order, reply, Duration.ofSeconds(1), "the queue does not exist");
        return;
      }
      Optional<String> neverRuns = quotas.refusal(order);
      if (neverRuns.isPresent()) {
        ports.metrics().counter("refused.cap").inc();
        refuse(order, reply, CAP_RETRY_AFTER, neverRuns.get());
        return;
      }
      if (storeUnavailable()) {
        ports.metrics().counter("refused.store").inc();
        refuse(order, reply, STORE_RETRY_AFTER, "the store does not answer");
        return;
      }
      boolean excess = teamMarks.excess(order, teams());
      if (!admit(order, queue.get(), excess, reply)) {
        teamMarks.refused(order, excess);
        return;
      }
      queueRules.store(queue.get());
      quotas.caps().store(order.team());
      Job job = jobs.accept(order);
      job.excess = excess;
      backlog.addAccepted(order, queue.get(), excess);
      ports
          .journal()
          .whenDurable(
              () -> {
                job.durable = true;
                requestPass();
              });
    }
    Job job = jobs.find(order.id()).orElseThrow();
    long startMillis = now();
    job.submitReplies.add(reply);
    ports
        .journal()
        .whenDurable(
            () -> {
              if (job.durable) {
                ports.metrics().histogram("accept.ms").update(now() - startMillis);
                reply.accept(CellReply.of(CellReply.Outcome.ACCEPTED, ""));
              }
            });
  }

  /** Returns whether commits fail, or have been unanswered for longer than a slow store takes. */
  private boolean storeUnavailable() {
    return !ports.journal().failingFor().isZero()
        || ports.journal().stalledFor().compareTo(STORE_STALLED_AFTER) >= 0;
  }

  /** Refuses accepted jobs that are certainly not stored, while the store is unavailable. */
  private void withdrawUnstoredJobs() {
    if (ports.journal().failingFor().compareTo(WITHDRAW_AFTER) < 0
        && ports.journal().stalledFor().compareTo(STORE_STALLED_AFTER) < 0) {
      return;
    }
    for (Job job : jobs.unstoredJobs()) {
      if (!jobs.withdraw(job)) {
        continue;
      }
      ports.metrics().counter("refused.store").inc();
      teamMarks.refused(job.order, job.excess);
      for (Consumer<CellReply> caller : job.submitReplies) {
        refuse(job.order, caller, STORE_RETRY_AFTER, "the job could not be stored");
      }
    }
  }

  private boolean admit(
      JobOrder order, QueueRule queue, boolean excess, Consumer<CellReply> reply) {
    if (excess) {
      return admitExcess(order, queue, reply);
    }
    if (order.recurrence().timed() || order.steps().stream().anyMatch(StepSpec::lasting)) {
      return true;
    }
    Admission.Facts facts = backlog.facts(order, queue, false);
    Duration startLatency = launcher.startLatency();
    if (!loadShedder.admits(
        queue.name(), startLatency, facts.objective().minus(facts.criticalPath()))) {
      ports.metrics().counter("refused.behind").inc();
      refuse(
          order,
          reply,
          overloadRetryAfter(order),
          "the leader is overloaded: starting a task takes " + startLatency.toMillis() + " ms");
      return false;
    }
    Admission.Decision decision = backlog.decide(order, queue, facts);
    if (decision.accepted()) {
      logAccepted(order, facts, decision);
      return true;
    }
    ports.metrics().counter("refused.backlog").inc();
    refuse(
        order,
        reply,
        decision.retryAfter(),
        "expected to end in "
            + decision.expected().toMillis()
            + " ms; objective in ms: "
            + facts.objective().toMillis());
    return false;
  }

  /** Accepts a job beyond the weight of its team only into capacity that nobody else needs. */
  private boolean admitExcess(JobOrder order, QueueRule queue, Consumer<CellReply> reply) {
    Admission.Facts facts = backlog.facts(order, queue, true);
    Duration slack = facts.objective().minus(facts.criticalPath());
    boolean overloaded = !LoadShedder.admitsExcess(launcher.startLatency(), slack);
    Admission.Decision decision = backlog.decide(order, queue, facts);
    if (!overloaded && decision.accepted()) {
      ports.metrics().counter("accepted.excess").inc();
      logAccepted(order, facts, decision);
      return true;
    }
    ports.metrics().counter(overloaded ? "refused.excess.behind" : "refused.excess").inc();
    refuse(
        order,
        reply,
        teamMarks.retryAfter(order, teams()),
        "beyond the weight of the team: "
            + (overloaded ? "the leader is overloaded" : "no capacity is free beside owed jobs"));
    return false;
  }

  private void logAccepted(JobOrder order, Admission.Facts facts, Admission.Decision decision) {
    ports
        .log()
        .event(
            "job-accept",
            order.id(),
            "queue",
            order.queue(),
            "config",
            config().version(),
            "expectedMs",
            decision.expected().toMillis(),
            "objectiveMs",
            facts.objective().toMillis(),
            "waitingCoreMs",
            facts.waitingCoreMillis(),
            "freeMillicores",
            facts.freeMillicores(),
            "capacityMillicores",
            facts.capacityMillicores(),
            "excess",
            facts.excess());
  }

  /** Returns a retry delay with jitter, so that callers refused together do not retry together. */
  private static Duration overloadRetryAfter(JobOrder order) {
    int jitterMillis = Math.floorMod(order.id().hashCode(), (int) OVERLOAD_RETRY_JITTER.toMillis());
    return OVERLOAD_RETRY_AFTER.plusMillis(jitterMillis);
  }

  /**
   * Returns the recent mean latency of start orders, which shows how overloaded this VM is.
   *
   * @return the latency
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
            "config",
            config().version(),
            "reason",
            reason,
            "retryAfterMs",
            retryAfter.toMillis());
    reply.accept(
        new CellReply(CellReply.Outcome.REFUSED, null, 0, (int) retryAfter.toMillis(), reason));
  }

  /**
   * Replies that a job is unknown, once the store has confirmed that no other VM led, and so could
   * accept the job, when the call came.
   *
   * @param retry handles the call again, as the job may have been submitted meanwhile
   */
  private void replyUnknown(boolean confirmed, Runnable retry, Consumer<CellReply> reply) {
    if (confirmed) {
      reply.accept(CellReply.of(CellReply.Outcome.UNKNOWN_JOB, ""));
    } else if (storeUnavailable()) {
      int retryAfter = (int) STORE_RETRY_AFTER.toMillis();
      String reason = "the store does not answer, and another VM may lead";
      reply.accept(new CellReply(CellReply.Outcome.REFUSED, null, 0, retryAfter, reason));
    } else {
      ports.journal().whenConfirmed(retry);
    }
  }

  private void show(String id, boolean confirmed, Consumer<CellReply> reply) {
    Optional<JobState> ended = jobs.ended(id);
    if (ended.isPresent()) {
      reply.accept(new CellReply(CellReply.Outcome.SHOWN, ended.get(), 0, 0, ""));
      return;
    }
    Optional<Job> job = jobs.find(id);
    if (job.isEmpty()) {
      replyUnknown(confirmed, () -> show(id, true, reply), reply);
      return;
    }
    if (!job.get().durable) {
      ports.journal().whenDurable(() -> show(id, confirmed, reply));
      return;
    }
    reply.accept(new CellReply(CellReply.Outcome.SHOWN, job.get().visibleState, 0, 0, ""));
  }

  private void cancel(String id, boolean confirmed, Consumer<CellReply> reply) {
    if (jobs.ended(id).isPresent()) {
      reply.accept(CellReply.of(CellReply.Outcome.CANCELLED, "the job has ended"));
      return;
    }
    Optional<Job> job = jobs.find(id);
    if (job.isEmpty()) {
      replyUnknown(confirmed, () -> cancel(id, true, reply), reply);
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

  /** Ends a job before all its tasks have succeeded, and stops its runs. */
  void endEarly(Job job, JobState state) {
    quotas.jobEnded(jobs.end(job, state));
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

  /** Releases a run that is certainly over, and makes its task wait again unless it succeeded. */
  void finishRun(Run run, String reason) {
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

  /** Handles that a worker has seen a higher fencing token, which means that another VM leads. */
  void handleFenced(Worker worker) {
    ports.log().event("cell-fenced", worker.id(), "epoch", ports.term().epoch());
    leadershipProof.fenced();
    onFenced.run();
  }

  TeamQuotas quotas() {
    return quotas;
  }

  Fleet fleet() {
    return fleet;
  }

  Incarnations incarnations() {
    return incarnations;
  }

  /** Renews the lease of a worker, unless a renewal is in flight. */
  void renew(Worker worker) {
    leaseRenewer.renew(worker);
  }

  /** Renews a worker without waiting for the renewal in flight, whose result is ignored. */
  void renewAgain(Worker worker) {
    leaseRenewer.renewAgain(worker);
  }

  private void tick() {
    if (closed) {
      return;
    }
    // Scheduled first, so that a tick that fails is not the last one.
    ports.timers().after(TICK_INTERVAL, this::tick);
    ticks++;
    ports.journal().heartbeat();
    inheritedLeases.update();
    ports.meter().timed("tick", this::checkWorkers);
    withdrawUnstoredJobs();
    ports.adviceDispatcher().dispatch();
    jobs.openOccurrences();
    if (ticks % 5 == 0) {
      ports.metrics().histogram("cell.free.permille").update(fleet.freePermille(false));
      ports.metrics().histogram("cell.awaited.permille").update(fleet.freePermille(true));
      quotas.measure();
    }
    if (ticks % 50 == 0) {
      jobs.removeExpired();
      queueRules.update(jobs.open());
      quotas.caps().update(jobs.open());
    }
    requestPass();
  }

  private void runPass() {
    long startMillis = now();
    ports.meter().timed("pass", scheduler::runPass);
    meanPassMillis += PASS_DURATION_EWMA_WEIGHT * (now() - startMillis - meanPassMillis);
  }

  private Duration passDelay() {
    Duration proportional = Duration.ofMillis((long) (PASS_DURATION_FACTOR * meanPassMillis));
    Duration bounded =
        proportional.compareTo(MAX_DURATION_DELAY) > 0 ? MAX_DURATION_DELAY : proportional;
    return BASE_PASS_DELAY
        .plus(PASS_DELAY_PER_WORKER.multipliedBy(fleet.all().size()))
        .plus(bounded);
  }

  private void checkWorkers() {
    for (Worker worker : List.copyOf(fleet.all())) {
      leaseRenewer.releaseExpiredRuns(worker);
      leaseRenewer.stopStalledRuns(worker);
      usedWorkers.removeExpiredStrayLease(worker);
      usedWorkers.unlistIfUnused(worker);
    }
  }

  /** Schedules a pass, unless one is scheduled already. */
  void requestPass() {
    if (closed || passScheduled) {
      return;
    }
    passScheduled = true;
    ports
        .timers()
        .after(
            passDelay(),
            () -> {
              passScheduled = false;
              if (leads() && !paused) {
                runPass();
              }
            });
  }

  /**
   * Returns the wall-clock time, for the due times of timed jobs.
   *
   * @return the time
   */
  Instant timeOfDay() {
    return ports.timeOfDay().instant();
  }

  /** Returns the expected run time in ms of a task on a worker of speed 1. */
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

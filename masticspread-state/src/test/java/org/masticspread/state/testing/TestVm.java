package org.masticspread.state.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.platform.MembershipView;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.state.history.HistoryEvent;
import org.masticspread.state.journal.AppendException;
import org.masticspread.state.journal.Journal;
import org.masticspread.state.journal.JournalSettings;
import org.masticspread.state.ownership.OwnershipListener;
import org.masticspread.state.ownership.ShardMap;
import org.masticspread.state.ownership.ShardOwnership;
import org.masticspread.state.ownership.ShardStates;
import org.masticspread.state.session.SessionKeeper;
import org.masticspread.state.session.SessionTiming;
import org.masticspread.state.session.SessionView;
import org.masticspread.state.session.SessionWatcher;
import org.masticspread.state.shard.BeginJobResult;
import org.masticspread.state.shard.BeginRequestResult;
import org.masticspread.state.shard.Fingerprint;
import org.masticspread.state.shard.JournalRecord;
import org.masticspread.state.shard.WorkShardState;

/** A VM that is stepped by a test and records events in the history of its cluster. */
public final class TestVm implements OwnershipListener {
  public static final ShardMap MAP = new ShardMap(4);
  static final RackId RACK = RackId.of("rack-1");
  private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(4);

  private final TestCluster cluster;
  private final VmId id;
  private final SessionKeeper keeper;
  private final SessionWatcher watcher;
  private final ShardStates states = new ShardStates();
  private final Map<ShardId, Long> epochs = new HashMap<>();
  private final List<MasticspreadException> failures = new ArrayList<>();
  private Journal journal;
  private ShardOwnership ownership;
  private SessionView view = SessionView.EMPTY;

  TestVm(TestCluster cluster, VmId id, String nonce) {
    this.cluster = cluster;
    this.id = id;
    var clock = cluster.clock();
    var timing = SessionTiming.DEFAULT;
    this.keeper =
        new SessionKeeper(
            cluster.table(),
            timing,
            id,
            "10.0.0.1:9",
            DataCentreId.of("gori"),
            nonce,
            clock::nanos);
    this.watcher = new SessionWatcher(cluster.table(), timing, keeper, clock::nanos);
  }

  /** Runs one round: heartbeat, sessions, shards and journal. */
  public void step() {
    try {
      open();
      keeper.heartbeat();
      view = watcher.tick();
      Set<VmId> eligible = new TreeSet<>(view.eligibleVms(emptyMembership()));
      eligible.removeAll(cluster.leaving());
      ownership.tick(view, eligible, List.of(RACK));
    } catch (MasticspreadException e) {
      failures.add(e);
    }
    flush();
  }

  private void open() throws MasticspreadException {
    if (ownership != null) {
      return;
    }
    keeper.open();
    journal =
        new Journal(
            cluster.table(),
            keeper.incarnation(),
            JournalSettings.DEFAULT,
            states,
            cluster.clock(),
            cluster.clock()::nanos,
            Samples.random(id.hashCode()));
    ownership =
        new ShardOwnership(
            cluster.table(),
            cluster.objects(),
            keeper,
            journal,
            states,
            MAP,
            this,
            cluster.settings());
  }

  private static MembershipView emptyMembership() {
    return new MembershipView(List.of(), List.of(), List.of(), List.of());
  }

  /** Reads the sessions without a heartbeat. */
  public void watch() {
    try {
      view = watcher.tick();
    } catch (MasticspreadException e) {
      failures.add(e);
    }
  }

  /** Flushes the journal. */
  public void flush() {
    if (journal != null) {
      journal.flush();
    }
  }

  /** Submits a job to this VM, which refuses it unless it holds the shard of the job. */
  public void submit(JobSpec job) {
    var clock = cluster.clock();
    cluster.log(
        new HistoryEvent.JobSubmitted(job.key(), job.tasks(), job.idempotent(), clock.instant()));
    ShardId shard = MAP.workShard(job.key());
    Optional<WorkShardState> state = states.state(shard);
    if (state.isEmpty()) {
      answerJob(job, ResultCode.NOT_OWNER);
      return;
    }
    BeginJobResult begin = state.get().beginJob(job);
    if (begin.kind() != BeginJobResult.Kind.NEW) {
      if (begin.kind() == BeginJobResult.Kind.DECIDED) {
        answerJob(job, begin.code());
      }
      return;
    }
    var record = new JournalRecord.JobAccepted(job, clock.instant());
    journal
        .append(shard, epochs.get(shard), record, clock.instant().plus(WRITE_TIMEOUT))
        .whenComplete((done, error) -> onJobAppended(state.get(), job, error));
  }

  private void onJobAppended(WorkShardState state, JobSpec job, Throwable error) {
    if (error instanceof AppendException failed) {
      if (failed.isNotWritten()) {
        state.abandonJob(job.key());
      }
      answerJob(job, failed.code());
      return;
    }
    answerJob(job, ResultCode.ACCEPTED);
  }

  private void answerJob(JobSpec job, ResultCode code) {
    cluster.log(new HistoryEvent.JobAnswered(job.key(), code, cluster.clock().instant()));
  }

  /** Sends a request to this VM, which refuses it unless it holds the shard of the request. */
  public void run(RequestSpec request) {
    var clock = cluster.clock();
    String send = cluster.nextSend();
    cluster.log(new HistoryEvent.RequestSent(request.key(), send, false, clock.instant()));
    ShardId shard = MAP.workShard(request.key());
    Optional<WorkShardState> state = states.state(shard);
    if (state.isEmpty()) {
      answer(request, send, ResultCode.NOT_OWNER, Payload.EMPTY);
      return;
    }
    BeginRequestResult begin = state.get().beginRequest(request, clock.instant());
    if (begin.kind() == BeginRequestResult.Kind.DECIDED) {
      answer(request, send, begin.answer().code(), begin.answer().body());
    }
    if (begin.kind() != BeginRequestResult.Kind.NEW) {
      return;
    }
    var started =
        new JournalRecord.RequestStarted(request.key(), Fingerprint.of(request), clock.instant());
    journal
        .append(shard, epochs.get(shard), started, clock.instant().plus(WRITE_TIMEOUT))
        .whenComplete((done, error) -> onStartAppended(state.get(), shard, request, send, error));
  }

  private void onStartAppended(
      WorkShardState state, ShardId shard, RequestSpec request, String send, Throwable error) {
    var clock = cluster.clock();
    if (error instanceof AppendException failed) {
      if (failed.isNotWritten()) {
        state.abandonRequest(request.key());
      }
      answer(request, send, failed.code(), Payload.EMPTY);
      return;
    }
    if (!keeper.isHeld()) {
      answer(request, send, ResultCode.OUTCOME_UNKNOWN, Payload.EMPTY);
      return;
    }
    Payload body = Payload.ofText("answer to " + request.key());
    cluster.log(new HistoryEvent.RequestRan(request.key(), body, clock.instant()));
    var end =
        new JournalRecord.RequestEnded(request.key(), ResultCode.OK, body, "", clock.instant());
    Long epoch = epochs.getOrDefault(shard, 0L);
    journal
        .append(shard, epoch, end, clock.instant().plus(WRITE_TIMEOUT))
        .whenComplete((done, lost) -> answer(request, send, ResultCode.OK, body));
  }

  private void answer(RequestSpec request, String send, ResultCode code, Payload body) {
    cluster.log(
        new HistoryEvent.RequestAnswered(
            request.key(), send, code, body, cluster.clock().instant()));
  }

  @Override
  public void acquired(ShardId shard, long epoch, WorkShardState state) {
    epochs.put(shard, epoch);
    cluster.acquired(shard, epoch, keeper.incarnation());
    if (state != null) {
      submitImmediately(shard, epoch);
    }
  }

  /**
   * Appends a record for a shard before the tick that acquired the shard has ended, as a node may
   * do.
   */
  private void submitImmediately(ShardId shard, long epoch) {
    for (int i = 0; ; i++) {
      JobSpec job = Samples.job("first-" + epoch + "-" + i, 1, true);
      if (MAP.workShard(job.key()).equals(shard)) {
        submit(job);
        journal.flush();
        return;
      }
    }
  }

  @Override
  public boolean prepareRelease(ShardId shard, long epoch) {
    return true;
  }

  @Override
  public void lost(ShardId shard, long epoch) {
    epochs.remove(shard);
  }

  @Override
  public void recoveryFailed(ShardId shard, MasticspreadException error) {
    failures.add(error);
  }

  /** Returns the VM. */
  public VmId id() {
    return id;
  }

  /** Returns the session. */
  public SessionKeeper keeper() {
    return keeper;
  }

  /** Returns the ownership of shards. */
  public ShardOwnership ownership() {
    return ownership;
  }

  /** Returns the shards that this VM holds. */
  public Set<ShardId> held() {
    return ownership == null ? Set.of() : ownership.held().keySet();
  }

  /** Returns the state of a shard that this VM holds. */
  public Optional<WorkShardState> state(ShardId shard) {
    return states.state(shard);
  }

  /** Returns the errors of steps and recoveries. */
  public List<MasticspreadException> failures() {
    return failures;
  }

  List<JobView> jobs() {
    List<JobView> jobs = new ArrayList<>();
    held().forEach(s -> states.state(s).ifPresent(x -> jobs.addAll(x.jobs(Samples.TEAM, 9_999))));
    return jobs;
  }
}

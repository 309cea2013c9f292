package org.masticspread.cell.lead;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.masticspread.cell.engine.Cell;
import org.masticspread.cell.engine.CellPorts;
import org.masticspread.cell.engine.PriorityAdviceDispatcher;
import org.masticspread.cell.journal.Journal;
import org.masticspread.cell.journal.LeaderRecord;
import org.masticspread.cell.journal.QueueRecord;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.journal.TeamRecord;
import org.masticspread.cell.journal.Term;
import org.masticspread.cell.journal.UsedWorkersRecord;
import org.masticspread.cell.journal.VmRecord;
import org.masticspread.cell.port.TableCommit;
import org.masticspread.cell.port.TableCommit.Put;
import org.masticspread.cell.port.TableCommit.RowName;
import org.masticspread.cell.port.TableRow;
import org.masticspread.cell.port.WorkerEntry;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.Acknowledged;
import org.masticspread.model.peer.AdviceCall;
import org.masticspread.model.peer.AdviceReply;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.LeadCell;
import org.masticspread.model.peer.PeerHandler;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.model.peer.PeerPort;
import org.masticspread.model.peer.ReadCellConfig;
import org.masticspread.model.peer.VmProbe;
import org.masticspread.model.peer.VmStatus;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.ResultCode;

/**
 * A VM of the cell. It registers itself, follows the configuration and the leader, and leads the
 * cell while it is elected. All state is confined to the thread of {@link VmPorts#timers()}.
 *
 * <pre>{@code
 * Vm vm = new Vm(ports, self);
 * peers.listen(address, vm);
 * vm.start(config -> apply(config));
 * }</pre>
 */
public final class Vm implements PeerHandler {
  /** The delay before a failed registration is retried. */
  private static final Duration REGISTER_RETRY_DELAY = Duration.ofMillis(200);

  /** A commit that is unanswered for this long makes the leader check the store. */
  private static final Duration LATE_COMMIT_AGE = Duration.ofMillis(100);

  /** A leader whose processing delay reaches this is slow itself, not the store. */
  private static final Duration OVERLOAD_DELAY = Duration.ofMillis(100);

  /** The interval at which the leader checks for late commits. */
  private static final Duration COMMIT_WATCH_INTERVAL = Duration.ofMillis(100);

  /** The minimum interval between searches for a VM that reaches the store. */
  private static final Duration SUCCESSOR_SEARCH_INTERVAL = Duration.ofMillis(400);

  /** How long to wait for an invited VM to take over before this VM proceeds. */
  private static final Duration HANDOVER_TIMEOUT = Duration.ofMillis(1200);

  /** The timeout of probes of VMs other than the leader. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);

  /** The interval for checking whether all that a cell needs to start has been read. */
  private static final Duration LOAD_POLL_INTERVAL = Duration.ofMillis(10);

  /** The interval for asking VMs whether they follow, while too few workers answer. */
  private static final Duration FOLLOWER_POLL_INTERVAL = Duration.ofMillis(250);

  /**
   * How long the store may hold a poll of the registry: short, so that the leader notices a poll
   * that hangs before a worker that leaves has gone.
   */
  private static final Duration REGISTRY_HOLD = Duration.ofMillis(400);

  private final VmPorts ports;
  private final PeerPort peers;
  private final Membership membership;
  private final LeaderElection election;
  private final Handover handover;
  private final StoreCheck storeCheck;
  private final long startedMillis;
  private final TableFollower vmFollower;
  private final TableFollower leaderFollower;
  private final ConfigFollower configs;
  private Optional<Cell> cell = Optional.empty();
  private Optional<TableFollower> workerFollower = Optional.empty();
  private Optional<Journal> journal = Optional.empty();
  private Optional<CellLoader> cellLoader = Optional.empty();
  private StoreFailureDetector storeFailureDetector;
  private long lastSearchMillis = Long.MIN_VALUE / 2;
  private Consumer<CellConfig> configListener = newer -> {};

  /**
   * Creates a VM.
   *
   * @param given the ports to the platform and the peers
   * @param self the record under which the VM registers itself
   */
  public Vm(VmPorts given, VmRecord self) {
    this.ports = given.withPeers(this::callPeer);
    this.peers = given.peers();
    this.membership = new Membership(self, ports.clock());
    this.startedMillis = ports.clock().millis();
    this.election = new LeaderElection(ports, membership, new ElectionCallbacks());
    this.configs = new ConfigFollower(ports, new ConfigCallbacks());
    this.handover = new Handover(ports, membership, election, configs::version);
    this.storeCheck = new StoreCheck(ports.store(), ports.timers());
    this.storeFailureDetector = new StoreFailureDetector(ports.clock());
    this.vmFollower =
        follower(Rows.VM_TABLE, Rows.VM_PART, TableFollower.LONG_HOLD, this::onVmRows);
    this.leaderFollower =
        follower(Rows.LEADER_TABLE, Rows.PART, TableFollower.LONG_HOLD, this::onLeaderRows);
  }

  private TableFollower follower(
      String table, String part, Duration hold, TableFollower.Listener listener) {
    return new TableFollower(
        ports.store(),
        ports.timers(),
        ports.clock(),
        ports.log(),
        table,
        part,
        () -> hold,
        listener);
  }

  /**
   * Returns the ports of the VM. What other VMs answer through them also tells this VM whether its
   * configuration is the newest.
   *
   * @return the ports
   */
  public VmPorts ports() {
    return ports;
  }

  /** Calls another VM and learns from its answer whether the configuration is the newest. */
  private CompletionStage<PeerMessage> callPeer(VmId to, PeerMessage message, Duration timeout) {
    long sentMillis = configs.nowMillis();
    CompletionStage<PeerMessage> answer = peers.call(to, message, timeout);
    var unused =
        answer.thenAccept(
            received -> {
              if (received instanceof VmStatus status) {
                ports.timers().after(Duration.ZERO, () -> configs.onStatus(to, status, sentMillis));
              } else if (received instanceof CellReply reply) {
                ports
                    .timers()
                    .after(Duration.ZERO, () -> configs.onVersion(to, reply.configVersion()));
              }
            });
    return answer;
  }

  /**
   * Registers the VM and starts to follow the configuration and the leader.
   *
   * @param listener receives each newer configuration
   */
  public void start(Consumer<CellConfig> listener) {
    configListener = listener;
    VmGauges.register(ports.metrics(), this);
    configs.start();
    measureStoreAndRegister();
    vmFollower.start();
    leaderFollower.start();
    election.start();
  }

  /** Returns how long commits have been failing, in ms. */
  long storeFailingMillis() {
    return journal.map(j -> j.failingFor().toMillis()).orElse(0L);
  }

  /** Returns the newest epoch that this VM knows. */
  long epoch() {
    return election.epoch();
  }

  private void watchCommits(Journal watched) {
    if (!journal.equals(Optional.of(watched))) {
      return;
    }
    if (watched.stalledFor().compareTo(LATE_COMMIT_AGE) >= 0) {
      checkStore(watched);
    }
    ports.timers().after(COMMIT_WATCH_INTERVAL, () -> watchCommits(watched));
  }

  /** Registers this VM; where there are regions, with the latency of the store, which ranks it. */
  private void measureStoreAndRegister() {
    if (membership.self().region().isEmpty()) {
      register();
      return;
    }
    new StoreLatency(ports.store(), ports.timers(), ports.clock())
        .measure(
            millis -> {
              membership.storeMeasured(millis);
              register();
            });
  }

  private void register() {
    VmRecord self = membership.self();
    TableCommit commit =
        new TableCommit(
            Rows.VM_PART,
            List.of(),
            List.of(new Put(new RowName(Rows.VM_TABLE, self.vm()), Rows.encode(self))),
            List.of());
    var unused =
        ports
            .store()
            .commit(commit)
            .subscribe(
                result -> {
                  switch (result.kind()) {
                    case DONE ->
                        ports
                            .log()
                            .event(
                                "vm-registered",
                                self.vm(),
                                "life",
                                self.life(),
                                "region",
                                self.region(),
                                "storeMs",
                                self.storeMillis());
                    default -> ports.timers().after(REGISTER_RETRY_DELAY, this::register);
                  }
                });
  }

  /**
   * Returns the configuration.
   *
   * @return the newest configuration that this VM has, or empty before the first
   */
  public Optional<CellConfig> config() {
    return configs.config();
  }

  /**
   * Returns the time since the configuration was certainly the newest, including suspensions of
   * this VM and of those that confirmed it. It is very high until the configuration is confirmed
   * for the first time, and again after this VM was suspended.
   *
   * @return the age of the configuration
   */
  public Duration configAge() {
    return configs.age();
  }

  /** Returns how long the configuration has been unconfirmed, in ms, for operators. */
  long configAgeMillis() {
    return configs.unconfirmedFor().toMillis();
  }

  /** Returns the time since the registry of the workers was certainly up to date, in ms. */
  long workerRegistryAgeMillis() {
    return workerFollower.map(f -> ports.clock().millis() - f.confirmedMillis()).orElse(0L);
  }

  /**
   * Returns the address of another VM.
   *
   * @param vm the VM
   * @return its host and port, or empty if it is not registered
   */
  public Optional<String> address(VmId vm) {
    return membership.find(vm.value()).map(VmRecord::address);
  }

  /**
   * Returns the hosts of the VMs in other regions than this one.
   *
   * @return the hosts, without ports; may be read on any thread
   */
  public Set<String> hostsOfOtherRegions() {
    return membership.hostsOfOtherRegions();
  }

  /**
   * Returns the VM that leads the cell.
   *
   * @return the leader that this VM knows
   */
  public Optional<LeaderRecord> leader() {
    return election.leader();
  }

  /**
   * Tells whether a leader record names this incarnation of this VM.
   *
   * @param record the leader record
   * @return whether it names this incarnation
   */
  public boolean isSelf(LeaderRecord record) {
    return record.life().equals(membership.self().life());
  }

  /**
   * Returns the cell if this VM leads it and has loaded it.
   *
   * @return the cell, or empty
   */
  public Optional<Cell> cell() {
    return cell;
  }

  /**
   * Tells whether this VM leads the cell, by a recent proof, or hears the leader.
   *
   * @return whether calls can be answered or forwarded
   */
  public boolean leaderReachable() {
    return cell.map(Cell::leads).orElse(!election.leading() && election.hearsLeader());
  }

  /**
   * Tells whether calls can be sent to the leader.
   *
   * @return whether another VM leads and accepts calls, as far as this one knows
   */
  public boolean leaderServes() {
    boolean silentElsewhere = election.leaderInOtherRegion() && !election.hearsLeader();
    return election.leaderServes() && !silentElsewhere;
  }

  /**
   * Tells whether neither the leader, which is in another region, nor any other VM of another
   * region answers. Calls that are sent nevertheless would only get an uncertain answer.
   *
   * @return whether the region of this VM may be cut off from the leader
   */
  public boolean leaderCutOff() {
    return election.cutOffFromLeader();
  }

  /**
   * Sets the action that runs when calls can be sent to the leader again or another VM leads.
   *
   * @param action the action
   */
  public void onLeaderServing(Runnable action) {
    election.onLeaderServing(action);
  }

  /** Probes the leader now, because a call to it failed or waits for a leader. */
  public void probeLeader() {
    election.probeNow();
  }

  /** Records that the leader has answered a call. */
  public void leaderAnswered() {
    election.leaderAnswered();
  }

  /** Records that the leader answered that it does not accept calls. */
  public void leaderNotServing() {
    election.leaderNotServing();
  }

  /**
   * Returns how long slow answers of the leader take.
   *
   * @return an upper estimate of the latency, from recent answers
   */
  public Duration slowAnswerTime() {
    return election.slowAnswerTime();
  }

  /**
   * Hands the cell over; the VM still forwards calls afterwards.
   *
   * @param done runs when another VM leads, or when none took over in time
   */
  public void stop(Runnable done) {
    election.markStopping();
    if (!election.leading()) {
      done.run();
      return;
    }
    ports.log().event("cell-handover", membership.self().vm(), "epoch", election.epoch());
    cell.ifPresent(c -> c.pause(true));
    awaitIdleJournal(done, ports.clock().millis() + HANDOVER_TIMEOUT.toMillis());
  }

  /** Waits until all decisions are written, as the next leader has to read them. */
  private void awaitIdleJournal(Runnable done, long untilMillis) {
    boolean idle = journal.map(Journal::idle).orElse(true);
    if (!idle && ports.clock().millis() < untilMillis) {
      ports.timers().after(Duration.ofMillis(5), () -> awaitIdleJournal(done, untilMillis));
      return;
    }
    handover.invite("stopping", false);
    awaitNewLeader(done, ports.clock().millis() + HANDOVER_TIMEOUT.toMillis());
  }

  private void awaitNewLeader(Runnable done, long untilMillis) {
    if (election.leading() && ports.clock().millis() < untilMillis) {
      ports.timers().after(Duration.ofMillis(20), () -> awaitNewLeader(done, untilMillis));
      return;
    }
    done.run();
  }

  /** Deletes the VM's row, so that peers no longer call it. */
  public void unregister() {
    RowName row = new RowName(Rows.VM_TABLE, membership.self().vm());
    TableCommit commit = new TableCommit(Rows.VM_PART, List.of(), List.of(), List.of(row));
    var unused =
        ports
            .store()
            .commit(commit)
            .subscribe(
                result ->
                    ports.log().event("vm-unregistered", row.key(), "outcome", result.kind()));
  }

  @Override
  public CompletionStage<PeerMessage> handle(VmId from, PeerMessage message) {
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    ports.timers().after(Duration.ZERO, () -> handle(from, message, answer));
    return answer;
  }

  private void handle(VmId from, PeerMessage message, CompletableFuture<PeerMessage> answer) {
    membership.heard(from.value());
    if (message instanceof CellCall call) {
      configs.onVersion(from, call.configVersion());
      answer(call, answer::complete);
    } else if (message instanceof AdviceCall call) {
      var unused =
          ports
              .advisor()
              .ask(call.step(), call.workers(), Duration.ofMillis(call.timeoutMillis()))
              .subscribe(answer::complete, answer::completeExceptionally);
    } else if (message instanceof VmProbe probe) {
      configs.onVersion(from, probe.configVersion());
      answer(probe, answer);
    } else if (message instanceof ReadCellConfig request) {
      answer.complete(configs.rowNewerThan(request.knownVersion()));
    } else if (message instanceof LeadCell invitation) {
      answer(invitation, answer);
    } else {
      answer.completeExceptionally(
          new InvalidFieldException(
              "message", message.getClass().getSimpleName(), "a message of a cell"));
    }
  }

  /**
   * Answers a call if this VM leads, or replies that it does not.
   *
   * @param call the call
   * @param reply receives the reply
   */
  public void answer(CellCall call, Consumer<CellReply> reply) {
    if (cell.isEmpty()) {
      reply.accept(CellReply.of(CellReply.Outcome.NOT_LEADING, "epoch " + election.epoch()));
      return;
    }
    cell.get().handle(call, answer -> reply.accept(answer.decidedBy(configs.version())));
  }

  private void answer(VmProbe probe, CompletableFuture<PeerMessage> answer) {
    if (probe.epoch() > election.epoch()) {
      election.readLeaderRow();
    }
    if (probe.aboutLeader()) {
      election.checkLeader(hears -> answer.complete(status(hears, false)));
      return;
    }
    if (!probe.checkStore()) {
      answer.complete(status(false));
      return;
    }
    boolean[] answered = {false};
    Consumer<Boolean> once =
        reached -> {
          if (!answered[0]) {
            answered[0] = true;
            answer.complete(status(reached));
          }
        };
    ports.timers().after(StoreCheck.TIMEOUT, () -> once.accept(false));
    var unused =
        ports
            .store()
            .read(Rows.LEADER_TABLE, Rows.PART, "", 1)
            .subscribe(page -> once.accept(true), error -> once.accept(false));
  }

  /** Accepts an invitation to lead; if the leader lost the store, only after a write to it. */
  private void answer(LeadCell invitation, CompletableFuture<PeerMessage> answer) {
    if (!invitation.mustReachStore()) {
      election.onInvitation(invitation);
      answer.complete(new Acknowledged(ResultCode.OK));
      return;
    }
    storeCheck.run(
        outcome -> {
          if (outcome == StoreCheck.Outcome.REACHED) {
            election.onInvitation(invitation);
            answer.complete(new Acknowledged(ResultCode.OK));
            return;
          }
          ports
              .log()
              .event(
                  "leader-invitation-declined",
                  membership.self().vm(),
                  "epoch",
                  invitation.epoch(),
                  "storeCheck",
                  outcome);
          answer.complete(new Acknowledged(ResultCode.STORE_UNAVAILABLE));
        });
  }

  private VmStatus status(boolean storeReached) {
    return status(election.hearsLeader(), storeReached);
  }

  private VmStatus status(boolean hearsLeader, boolean storeReached) {
    return new VmStatus(
        membership.self().life(),
        election.leading(),
        election.epoch(),
        election.leader().map(LeaderRecord::vm).orElse(""),
        election.leader().map(LeaderRecord::life).orElse(""),
        configs.version(),
        configs.toldAgeMillis(),
        hearsLeader,
        storeReached,
        election.isStopping(),
        ports.clock().millis() - startedMillis,
        cell.isPresent() || configs.config().isEmpty(),
        cellLoader.map(CellLoader::rowsRead).orElse(0L));
  }

  private void onVmRows(List<TableRow> rows, boolean all) {
    List<String> names = new ArrayList<>();
    for (TableRow row : rows) {
      names.add(row.key());
      if (row.deleted()) {
        membership.remove(row.key());
        continue;
      }
      try {
        membership.put(Rows.decode(VmRecord.class, row.value()));
      } catch (InvalidFieldException e) {
        ports.log().event("row-unreadable", row.key(), "reason", e.getMessage());
      }
    }
    if (all) {
      membership.retain(names);
    }
  }

  private void onLeaderRows(List<TableRow> rows, boolean all) {
    if (all || !rows.isEmpty()) {
      election.onLeaderRow(
          rows.isEmpty() ? Optional.empty() : Optional.of(rows.get(rows.size() - 1)));
    }
  }

  private void load(Term term) {
    closeCell();
    CellLoader loader =
        new CellLoader(
            ports.store(),
            ports.timers(),
            ports.log(),
            ports.clock(),
            () -> election.epoch() == term.epoch());
    cellLoader = Optional.of(loader);
    final long loadStartMillis = ports.clock().millis();
    configs.refresh();
    List<WorkerRows> earlyRows = new ArrayList<>();
    TableFollower workers =
        follower(
            ports.workerRegistry().table(),
            ports.workerRegistry().part(),
            REGISTRY_HOLD,
            (rows, all) -> {
              if (cell.isPresent()) {
                applyWorkerRows(cell.get(), rows, all);
              } else {
                earlyRows.add(new WorkerRows(rows, all));
              }
            });
    workerFollower = Optional.of(workers);
    workers.start();
    loader.load(stored -> startWhenReady(term, loader, stored, earlyRows, loadStartMillis));
  }

  private record WorkerRows(List<TableRow> rows, boolean all) {}

  /**
   * Starts the cell once jobs, workers and configuration are read. Before any worker is known, it
   * would refuse each job; by an earlier configuration, it could undo what the former leader did by
   * a newer one.
   */
  private void startWhenReady(
      Term term,
      CellLoader loader,
      CellLoader.StoredState stored,
      List<WorkerRows> workers,
      long loadStartMillis) {
    if (election.epoch() != term.epoch()) {
      return;
    }
    boolean configRead = configs.config().isPresent() && configs.confirmedSince(loadStartMillis);
    if (!configRead || workers.isEmpty()) {
      ports
          .timers()
          .after(
              LOAD_POLL_INTERVAL,
              () -> startWhenReady(term, loader, stored, workers, loadStartMillis));
      return;
    }
    Journal newJournal =
        new Journal(
            ports.store(), ports.timers(), ports.clock(), ports.log(), term, new CommitListener());
    Cell newCell =
        new Cell(
            new CellPorts(
                term,
                newJournal,
                ports.workers(),
                new PriorityAdviceDispatcher(
                    this::advise, membership::recentlyHeard, ports.clock()),
                ports.timers(),
                ports.clock(),
                ports.timeOfDay(),
                ports.log(),
                ports.metrics(),
                ports.limits(),
                ports.meter()),
            configs.config().get(),
            election::onFenced);
    for (QueueRecord queue : stored.queues()) {
      handleRow(Rows.QUEUE_TABLE, queue.name(), () -> newCell.restoreQueue(queue));
    }
    for (TeamRecord team : stored.teams()) {
      handleRow(Rows.TEAM_TABLE, team.name(), () -> newCell.restoreTeam(team));
    }
    for (CellLoader.StoredJob job : stored.jobs()) {
      String id = job.record().order().id();
      handleRow(Rows.JOB_TABLE, id, () -> newCell.restore(job.record(), job.progress()));
    }
    journal = Optional.of(newJournal);
    storeFailureDetector = new StoreFailureDetector(ports.clock());
    watchCommits(newJournal);
    workers.forEach(read -> applyWorkerRows(newCell, read.rows(), read.all()));
    for (UsedWorkersRecord used : stored.workers()) {
      handleRow(Rows.USED_WORKER_TABLE, "", () -> newCell.restoreWorkers(used));
    }
    cell = Optional.of(newCell);
    newCell.start();
    ports
        .timers()
        .after(FOLLOWER_POLL_INTERVAL, () -> awaitFollowers(newCell, term, new HashSet<>()));
    newCell.readEndedJobsWith(loader::findEnded);
    loader.loadEnded(newCell::restoreEnded, () -> endedJobsLoaded(newCell, loadStartMillis));
    ports
        .log()
        .event(
            "cell-loaded",
            membership.self().vm(),
            "epoch",
            term.epoch(),
            "jobs",
            stored.jobs().size(),
            "tookMs",
            ports.clock().millis() - loadStartMillis);
  }

  /**
   * Asks all other VMs until each has answered that it follows this term, unless the workers show
   * earlier that no former leader acts any more.
   */
  private void awaitFollowers(Cell target, Term term, Set<String> following) {
    if (!cell.equals(Optional.of(target)) || target.inheritedLeaseEndKnown()) {
      return;
    }
    List<VmRecord> others = membership.others();
    if (others.stream().allMatch(other -> following.contains(other.vm()))) {
      target.formerLeadersEnded("all VMs follow");
      return;
    }
    for (VmRecord other : others) {
      var unused =
          ports
              .peers()
              .call(
                  VmId.of(other.vm()),
                  new VmProbe(false, false, term.epoch(), configs.version()),
                  PROBE_TIMEOUT)
              .thenAccept(
                  answer -> {
                    if (answer instanceof VmStatus status && status.epoch() >= term.epoch()) {
                      ports.timers().after(Duration.ZERO, () -> following.add(other.vm()));
                    }
                  });
    }
    ports.timers().after(FOLLOWER_POLL_INTERVAL, () -> awaitFollowers(target, term, following));
  }

  private void endedJobsLoaded(Cell target, long loadStartMillis) {
    ports
        .log()
        .event(
            "ended-jobs-loaded",
            membership.self().vm(),
            "epoch",
            election.epoch(),
            "tookMs",
            ports.clock().millis() - loadStartMillis);
    target.endedJobsLoaded();
  }

  private void applyWorkerRows(Cell target, List<TableRow> rows, boolean all) {
    List<String> ids = new ArrayList<>();
    for (TableRow row : rows) {
      if (row.deleted()) {
        target.unregister(row.key());
        continue;
      }
      handleRow(
          row.table(),
          row.key(),
          () -> {
            Optional<WorkerEntry> entry = ports.workerRegistry().decoder().apply(row);
            if (entry.isEmpty()) {
              // It names no worker to use, whatever it was before.
              target.unregister(row.key());
              return;
            }
            ids.add(row.key());
            target.register(entry.get());
          });
    }
    if (all) {
      target.retainAll(ids);
    }
  }

  /** Handles a row; one that fails must not keep others from being handled. */
  private void handleRow(String table, String key, Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      ports.log().event("row-not-handled", key, "table", table, "reason", String.valueOf(e));
    }
  }

  private void closeCell() {
    cell.ifPresent(Cell::close);
    journal.ifPresent(Journal::close);
    workerFollower.ifPresent(TableFollower::close);
    cell = Optional.empty();
    journal = Optional.empty();
    workerFollower = Optional.empty();
    cellLoader = Optional.empty();
  }

  private Single<AdviceReply> advise(
      String vm, String step, List<String> workers, Duration timeout) {
    if (vm.equals(membership.self().vm())) {
      return ports.advisor().ask(step, workers, timeout);
    }
    AdviceCall call = new AdviceCall(step, workers, (int) timeout.toMillis());
    return Single.create(
        emitter ->
            ports
                .peers()
                .call(VmId.of(vm), call, timeout)
                .whenComplete(
                    (answer, error) ->
                        ports
                            .timers()
                            .after(
                                Duration.ZERO,
                                () ->
                                    emitter.onSuccess(
                                        answer instanceof AdviceReply reply
                                            ? reply
                                            : AdviceReply.NONE))));
  }

  /** Checks whether this leader reaches the store, after a late or failed commit. */
  private void checkStore(Journal watched) {
    long sent = ports.clock().millis();
    storeCheck.run(
        outcome -> {
          if (journal.equals(Optional.of(watched))) {
            storeFailureDetector.checkEnded(sent, outcome);
            handOverIfStoreLost(watched, outcome);
          }
        });
  }

  /** Invites a VM that reaches the store if this leader does not. */
  private void handOverIfStoreLost(Journal watched, StoreCheck.Outcome outcome) {
    long now = ports.clock().millis();
    boolean tooEarly = now - lastSearchMillis < SUCCESSOR_SEARCH_INTERVAL.toMillis();
    if (tooEarly
        || watched.stalledFor().isZero()
        || !storeFailureDetector.lost(election.consecutiveChanges())) {
      return;
    }
    // An overloaded VM sees slow commits as well; another VM would not be faster.
    boolean overloaded =
        cell.map(c -> c.startLatency().compareTo(OVERLOAD_DELAY) >= 0).orElse(false);
    if (overloaded && watched.failingFor().isZero()) {
      return;
    }
    lastSearchMillis = now;
    ports
        .log()
        .event(
            "store-doubtful",
            membership.self().vm(),
            "storeCheck",
            outcome,
            "checksFailingMs",
            storeFailureDetector.failingFor().toMillis(),
            "commitStalledMs",
            watched.stalledFor().toMillis(),
            "changesInRow",
            election.consecutiveChanges());
    handover.invite("store unreachable", true);
  }

  private final class ElectionCallbacks implements LeaderElection.Callbacks {
    @Override
    public void lead(Term term) {
      load(term);
    }

    @Override
    public void follow(LeaderRecord leader) {
      closeCell();
    }

    @Override
    public long configVersion() {
      return configs.version();
    }
  }

  private final class ConfigCallbacks implements ConfigFollower.Callbacks {
    @Override
    public boolean leading() {
      return election.leading();
    }

    @Override
    public Duration probeInterval() {
      return election.probeInterval();
    }

    @Override
    public void probeOthers() {
      for (VmRecord other : membership.nextToProbe()) {
        var unused =
            ports
                .peers()
                .call(
                    VmId.of(other.vm()),
                    new VmProbe(false, false, election.epoch(), configs.version()),
                    PROBE_TIMEOUT);
      }
    }

    @Override
    public void configure(CellConfig newer) {
      configListener.accept(newer);
      cell.ifPresent(c -> c.configure(newer));
    }
  }

  private final class CommitListener implements Journal.Listener {
    @Override
    public void deposed() {
      election.onFenced();
    }

    @Override
    public void storeReached(boolean reached) {
      if (reached) {
        storeFailureDetector.storeReached();
      } else {
        journal.ifPresent(Vm.this::checkStore);
      }
    }
  }
}

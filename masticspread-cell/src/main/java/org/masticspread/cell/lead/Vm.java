package org.masticspread.cell.lead;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.masticspread.cell.engine.Cell;
import org.masticspread.cell.engine.CellPorts;
import org.masticspread.cell.engine.PriorityAdviceDispatcher;
import org.masticspread.cell.journal.Journal;
import org.masticspread.cell.journal.LeaderRecord;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.journal.Term;
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
import org.masticspread.model.peer.VmProbe;
import org.masticspread.model.peer.VmStatus;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.ResultCode;

/**
 * One VM: it registers itself, follows the configuration and the leader, and leads the cell when it
 * is its turn. All state is confined to the thread of {@link VmPorts#timers()}.
 *
 * <pre>{@code
 * Vm vm = new Vm(ports, self);
 * peers.listen(address, vm);
 * vm.start();
 * }</pre>
 */
public final class Vm implements PeerHandler {
  /** Between two attempts to register. */
  private static final Duration REGISTER_PAUSE = Duration.ofMillis(200);

  /** A commit without an answer for so long lets the leader check the store. */
  private static final Duration COMMIT_LATE = Duration.ofMillis(100);

  /** A leader whose orders to workers take longer is slow itself. */
  private static final Duration SELF_BEHIND = Duration.ofMillis(100);

  /** How often the leader looks at its commits. */
  private static final Duration WATCH_EVERY = Duration.ofMillis(100);

  /** Between two searches for a VM that reaches the store. */
  private static final Duration SEARCH_EVERY = Duration.ofMillis(400);

  /** An invited VM takes over within this; if it does not, this VM goes on. */
  private static final Duration HANDOVER = Duration.ofMillis(1200);

  /** Between two looks whether all is read that a cell begins with. */
  private static final Duration LOAD_PAUSE = Duration.ofMillis(10);

  private final VmPorts ports;
  private final Roster roster;
  private final Leadership leadership;
  private final Handover handover;
  private final StoreCheck storeCheck;
  private final long startedMillis;
  private final TableFollower vms;
  private final TableFollower leaders;
  private final TableFollower operator;
  private Optional<CellConfig> config = Optional.empty();
  private Optional<Cell> cell = Optional.empty();
  private Optional<TableFollower> registry = Optional.empty();
  private Optional<Journal> journal = Optional.empty();
  private Optional<CellLoader> loading = Optional.empty();
  private StoreDoubt storeDoubt;
  private long searchedMillis = Long.MIN_VALUE / 2;
  private Consumer<CellConfig> configListener = newer -> {};

  /**
   * Creates a VM.
   *
   * @param ports what it works with
   * @param self how it is known to its peers
   */
  public Vm(VmPorts ports, VmRecord self) {
    this.ports = ports;
    this.roster = new Roster(self, ports.clock());
    this.startedMillis = ports.clock().millis();
    this.leadership = new Leadership(ports, roster, new Owner());
    this.handover = new Handover(ports, roster, leadership, this::configVersion);
    this.storeCheck = new StoreCheck(ports.store(), ports.timers());
    this.storeDoubt = new StoreDoubt(ports.clock());
    this.vms = follower(Rows.VM_TABLE, Rows.VM_PART, this::readVms);
    this.leaders = follower(Rows.LEADER_TABLE, Rows.PART, this::readLeader);
    this.operator = follower(ports.operator().table(), ports.operator().part(), this::readConfig);
  }

  private TableFollower follower(String table, String part, TableFollower.Listener listener) {
    return new TableFollower(ports.store(), ports.timers(), ports.log(), table, part, listener);
  }

  /**
   * Registers the VM and starts to follow.
   *
   * @param listener told of each newer configuration
   */
  public void start(Consumer<CellConfig> listener) {
    configListener = listener;
    VmGauges.register(ports.metrics(), this);
    operator.start();
    register();
    vms.start();
    leaders.start();
    leadership.start();
  }

  /** Returns for how long commits have failed, in ms. */
  long storeFailingMillis() {
    return journal.map(j -> j.failingFor().toMillis()).orElse(0L);
  }

  /** Returns the newest epoch of leadership that this VM knows. */
  long epoch() {
    return leadership.epoch();
  }

  private void watchCommits(Journal watched) {
    if (!journal.equals(Optional.of(watched))) {
      return;
    }
    watched.heartbeat();
    if (watched.stalledFor().compareTo(COMMIT_LATE) >= 0) {
      checkStore(watched);
    }
    ports.timers().after(WATCH_EVERY, () -> watchCommits(watched));
  }

  private void register() {
    VmRecord self = roster.self();
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
                    case DONE -> ports.log().event("vm-registered", self.vm(), "life", self.life());
                    default -> ports.timers().after(REGISTER_PAUSE, this::register);
                  }
                });
  }

  /**
   * Returns the configuration.
   *
   * @return the newest one that this VM has; empty before the first
   */
  public Optional<CellConfig> config() {
    return config;
  }

  /**
   * Returns the address of another VM.
   *
   * @param vm the VM
   * @return host and port, or empty if it is not registered
   */
  public Optional<String> address(VmId vm) {
    return roster.find(vm.value()).map(VmRecord::address);
  }

  /**
   * Returns the VM that leads the cell.
   *
   * @return the leader that this VM knows
   */
  public Optional<LeaderRecord> leader() {
    return leadership.leader();
  }

  /**
   * Tells whether a row names this life of this VM.
   *
   * @param record the row
   * @return whether this VM leads by it
   */
  public boolean leads(LeaderRecord record) {
    return record.life().equals(roster.self().life());
  }

  /**
   * Returns the cell, if this VM leads it and has loaded it.
   *
   * @return the cell
   */
  public Optional<Cell> cell() {
    return cell;
  }

  /**
   * Tells whether this VM leads or hears the leader.
   *
   * @return whether calls can be carried
   */
  public boolean leaderReachable() {
    return cell.isPresent() || (!leadership.leading() && leadership.hearsLeader());
  }

  /**
   * Tells whether calls can be sent to the leader.
   *
   * @return whether another VM leads and takes calls, as far as this one knows
   */
  public boolean leaderServes() {
    return leadership.leaderServes();
  }

  /**
   * Sets what is run when calls can be sent to the leader again, or another VM leads.
   *
   * @param action the action
   */
  public void whenLeaderServes(Runnable action) {
    leadership.whenServing(action);
  }

  /** Tells that a call to the leader failed or waits for one, so that it is looked at now. */
  public void lookAtLeader() {
    leadership.probeNow();
  }

  /** Tells that the leader has answered a call. */
  public void leaderAnswered() {
    leadership.leaderAnswered();
  }

  /** Tells that the leader has answered that it does not take calls. */
  public void leaderDoesNotServe() {
    leadership.notServing();
  }

  /**
   * Returns how long answers of the leader take.
   *
   * @return the longest time, by those seen lately
   */
  public Duration slowAnswer() {
    return leadership.slowAnswer();
  }

  /**
   * Hands the cell over and stays a VM that forwards calls.
   *
   * @param done run when another VM leads, or none could be found in time
   */
  public void stop(Runnable done) {
    leadership.stopping();
    if (!leadership.leading()) {
      done.run();
      return;
    }
    ports.log().event("cell-handover", roster.self().vm(), "epoch", leadership.epoch());
    cell.ifPresent(c -> c.pause(true));
    awaitIdleJournal(done, ports.clock().millis() + HANDOVER.toMillis());
  }

  /** What has been decided is written before another VM reads it. */
  private void awaitIdleJournal(Runnable done, long untilMillis) {
    boolean idle = journal.map(Journal::idle).orElse(true);
    if (!idle && ports.clock().millis() < untilMillis) {
      ports.timers().after(Duration.ofMillis(5), () -> awaitIdleJournal(done, untilMillis));
      return;
    }
    handover.invite("stopping", false);
    awaitFollower(done, ports.clock().millis() + HANDOVER.toMillis());
  }

  private void awaitFollower(Runnable done, long untilMillis) {
    if (leadership.leading() && ports.clock().millis() < untilMillis) {
      ports.timers().after(Duration.ofMillis(20), () -> awaitFollower(done, untilMillis));
      return;
    }
    done.run();
  }

  /** Drops the VM's row, so that no peer looks for it any more. */
  public void unregister() {
    RowName row = new RowName(Rows.VM_TABLE, roster.self().vm());
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
    roster.heard(from.value());
    if (message instanceof CellCall call) {
      answer(call, answer::complete);
    } else if (message instanceof AdviceCall call) {
      var unused =
          ports
              .advisor()
              .ask(call.step(), call.workers(), Duration.ofMillis(call.timeoutMillis()))
              .subscribe(answer::complete, answer::completeExceptionally);
    } else if (message instanceof VmProbe probe) {
      answer(probe, answer);
    } else if (message instanceof LeadCell invitation) {
      answer(invitation, answer);
    } else {
      answer.completeExceptionally(
          new InvalidFieldException(
              "message", message.getClass().getSimpleName(), "a message of a cell"));
    }
  }

  /**
   * Answers a call if this VM leads.
   *
   * @param call the call
   * @param reply gets the answer
   */
  public void answer(CellCall call, Consumer<CellReply> reply) {
    if (cell.isEmpty()) {
      reply.accept(CellReply.of(CellReply.Outcome.NOT_LEADING, "epoch " + leadership.epoch()));
      return;
    }
    if (call.configVersion() > configVersion()) {
      operator.refresh();
    }
    cell.get().handle(call, reply);
  }

  private void answer(VmProbe probe, CompletableFuture<PeerMessage> answer) {
    if (probe.configVersion() > configVersion()) {
      operator.refresh();
    }
    if (probe.epoch() > leadership.epoch()) {
      leadership.readLeader();
    }
    if (probe.aboutLeader()) {
      leadership.opinion(hears -> answer.complete(status(hears, false)));
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
    ports.timers().after(StoreCheck.IN_TIME, () -> once.accept(false));
    var unused =
        ports
            .store()
            .read(Rows.LEADER_TABLE, Rows.PART, "", 1)
            .subscribe(page -> once.accept(true), error -> once.accept(false));
  }

  /** Takes over; if the leader has lost the store, only after an own write to it. */
  private void answer(LeadCell invitation, CompletableFuture<PeerMessage> answer) {
    if (!invitation.mustReachStore()) {
      leadership.invited(invitation);
      answer.complete(new Acknowledged(ResultCode.OK));
      return;
    }
    storeCheck.write(
        outcome -> {
          if (outcome == StoreCheck.Outcome.REACHED) {
            leadership.invited(invitation);
            answer.complete(new Acknowledged(ResultCode.OK));
            return;
          }
          ports
              .log()
              .event(
                  "leader-invitation-declined",
                  roster.self().vm(),
                  "epoch",
                  invitation.epoch(),
                  "storeCheck",
                  outcome);
          answer.complete(new Acknowledged(ResultCode.STORE_UNAVAILABLE));
        });
  }

  private VmStatus status(boolean storeReached) {
    return status(leadership.hearsLeader(), storeReached);
  }

  private VmStatus status(boolean hearsLeader, boolean storeReached) {
    return new VmStatus(
        roster.self().life(),
        leadership.leading(),
        leadership.epoch(),
        leadership.leader().map(LeaderRecord::vm).orElse(""),
        leadership.leader().map(LeaderRecord::life).orElse(""),
        configVersion(),
        hearsLeader,
        storeReached,
        leadership.isStopping(),
        ports.clock().millis() - startedMillis,
        cell.isPresent() || config.isEmpty(),
        loading.map(CellLoader::rowsRead).orElse(0L));
  }

  private long configVersion() {
    return config.map(CellConfig::version).orElse(0L);
  }

  private void readVms(List<TableRow> rows, boolean all) {
    List<String> names = new ArrayList<>();
    for (TableRow row : rows) {
      names.add(row.key());
      if (row.deleted()) {
        roster.remove(row.key());
        continue;
      }
      try {
        roster.put(Rows.decode(VmRecord.class, row.value()));
      } catch (InvalidFieldException e) {
        ports.log().event("row-unreadable", row.key(), "reason", e.getMessage());
      }
    }
    if (all) {
      roster.retain(names);
    }
  }

  private void readLeader(List<TableRow> rows, boolean all) {
    if (all || !rows.isEmpty()) {
      leadership.read(rows.isEmpty() ? Optional.empty() : Optional.of(rows.get(rows.size() - 1)));
    }
  }

  private void readConfig(List<TableRow> rows, boolean all) {
    for (TableRow row : rows) {
      ports.operator().decoder().apply(row).ifPresent(this::configure);
    }
  }

  private void configure(CellConfig newer) {
    if (newer.version() <= configVersion()) {
      return;
    }
    ports
        .log()
        .event(
            "config-applied",
            Long.toString(newer.version()),
            "before",
            configVersion(),
            "queues",
            newer.queues().size());
    config = Optional.of(newer);
    configListener.accept(newer);
    cell.ifPresent(c -> c.configure(newer));
  }

  private void load(Term term) {
    drop();
    CellLoader loader =
        new CellLoader(
            ports.store(),
            ports.timers(),
            ports.log(),
            ports.clock(),
            () -> leadership.epoch() == term.epoch());
    loading = Optional.of(loader);
    long begun = ports.clock().millis();
    List<WorkersRead> early = new ArrayList<>();
    TableFollower workers =
        follower(
            ports.registry().table(),
            ports.registry().part(),
            (rows, all) -> {
              if (cell.isPresent()) {
                readWorkers(cell.get(), rows, all);
              } else {
                early.add(new WorkersRead(rows, all));
              }
            });
    registry = Optional.of(workers);
    workers.start();
    loader.load(stored -> loaded(term, loader, stored, early, begun));
  }

  private record WorkersRead(List<TableRow> rows, boolean all) {}

  /** Begins once jobs, workers and configuration are read: without workers each job is refused. */
  private void loaded(
      Term term,
      CellLoader loader,
      CellLoader.Loaded stored,
      List<WorkersRead> workers,
      long begun) {
    if (leadership.epoch() != term.epoch()) {
      return;
    }
    if (config.isEmpty() || workers.isEmpty()) {
      ports.timers().after(LOAD_PAUSE, () -> loaded(term, loader, stored, workers, begun));
      return;
    }
    Journal fresh =
        new Journal(ports.store(), ports.timers(), ports.clock(), ports.log(), term, new Commits());
    Cell next =
        new Cell(
            new CellPorts(
                term,
                fresh,
                ports.workers(),
                new PriorityAdviceDispatcher(this::advise, roster::heardLately, ports.clock()),
                ports.timers(),
                ports.clock(),
                ports.timeOfDay(),
                ports.log(),
                ports.metrics(),
                ports.limits(),
                ports.meter()),
            config.get(),
            leadership::fenced);
    stored.jobs().forEach(job -> next.restore(job.record(), job.progress()));
    journal = Optional.of(fresh);
    storeDoubt = new StoreDoubt(ports.clock());
    watchCommits(fresh);
    workers.forEach(read -> readWorkers(next, read.rows(), read.all()));
    stored.workers().forEach(next::restoreWorkers);
    cell = Optional.of(next);
    next.start();
    loader.loadEnded(
        (id, end) -> next.restoreEnded(id, end.state()), () -> endedKnown(next, begun));
    ports
        .log()
        .event(
            "cell-loaded",
            roster.self().vm(),
            "epoch",
            term.epoch(),
            "jobs",
            stored.jobs().size(),
            "tookMs",
            ports.clock().millis() - begun);
  }

  private void endedKnown(Cell target, long begun) {
    ports
        .log()
        .event(
            "ended-jobs-loaded",
            roster.self().vm(),
            "epoch",
            leadership.epoch(),
            "tookMs",
            ports.clock().millis() - begun);
    target.endedJobsLoaded();
  }

  private void readWorkers(Cell target, List<TableRow> rows, boolean all) {
    List<String> ids = new ArrayList<>();
    for (TableRow row : rows) {
      if (row.deleted()) {
        target.unregister(row.key());
        continue;
      }
      Optional<WorkerEntry> entry = ports.registry().decoder().apply(row);
      entry.ifPresent(
          worker -> {
            ids.add(worker.id());
            target.register(worker);
          });
    }
    if (all) {
      target.retainAll(ids);
    }
  }

  private void drop() {
    cell.ifPresent(Cell::close);
    journal.ifPresent(Journal::close);
    registry.ifPresent(TableFollower::close);
    cell = Optional.empty();
    journal = Optional.empty();
    registry = Optional.empty();
    loading = Optional.empty();
  }

  private Single<AdviceReply> advise(
      String vm, String step, List<String> workers, Duration timeout) {
    if (vm.equals(roster.self().vm())) {
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

  /** Checks whether this VM, the leader, reaches the store when a commit is late or failed. */
  private void checkStore(Journal watched) {
    long sent = ports.clock().millis();
    storeCheck.write(
        outcome -> {
          if (journal.equals(Optional.of(watched))) {
            storeDoubt.checked(sent, outcome);
            handOverIfLost(watched, outcome);
          }
        });
  }

  /** Searches for a VM that reaches the store when this one, the leader, does not. */
  private void handOverIfLost(Journal watched, StoreCheck.Outcome outcome) {
    long now = ports.clock().millis();
    boolean early = now - searchedMillis < SEARCH_EVERY.toMillis();
    if (early || watched.stalledFor().isZero() || !storeDoubt.lost(leadership.changesInRow())) {
      return;
    }
    // A VM that is behind with all its work sees slow commits too; another would be no faster.
    boolean behind = cell.map(c -> c.startLatency().compareTo(SELF_BEHIND) >= 0).orElse(false);
    if (behind && watched.failingFor().isZero()) {
      return;
    }
    searchedMillis = now;
    ports
        .log()
        .event(
            "store-doubtful",
            roster.self().vm(),
            "storeCheck",
            outcome,
            "checksFailingMs",
            storeDoubt.failingFor().toMillis(),
            "commitStalledMs",
            watched.stalledFor().toMillis(),
            "changesInRow",
            leadership.changesInRow());
    handover.invite("store not reached", true);
  }

  private final class Owner implements Leadership.Owner {
    @Override
    public void lead(Term term) {
      load(term);
    }

    @Override
    public void follow(LeaderRecord leader) {
      drop();
    }

    @Override
    public long configVersion() {
      return Vm.this.configVersion();
    }

    @Override
    public void configBehind() {
      operator.refresh();
    }
  }

  private final class Commits implements Journal.Listener {
    @Override
    public void deposed() {
      leadership.fenced();
    }

    @Override
    public void storeReached(boolean reached) {
      if (reached) {
        storeDoubt.reached();
      } else {
        journal.ifPresent(Vm.this::checkStore);
      }
    }
  }
}

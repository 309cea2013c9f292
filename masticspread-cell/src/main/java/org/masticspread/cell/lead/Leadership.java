package org.masticspread.cell.lead;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticspread.cell.journal.HeadRecord;
import org.masticspread.cell.journal.LeaderRecord;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.journal.Term;
import org.masticspread.cell.journal.VmRecord;
import org.masticspread.cell.port.CommitResult;
import org.masticspread.cell.port.TableCommit;
import org.masticspread.cell.port.TableCommit.Expected;
import org.masticspread.cell.port.TableCommit.Put;
import org.masticspread.cell.port.TableRow;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.LeadCell;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.VmProbe;
import org.masticspread.model.peer.VmStatus;
import org.masticspread.model.result.InvalidFieldException;

/**
 * Decides which VM leads the cell. The row of the leader decides; its epoch rises with each change.
 * The other VMs probe the leader. When most of those that can be asked do not hear it, the
 * strongest takes over by a conditional write. Safety rests on the epoch alone: the former leader
 * can write nothing more, and workers refuse it.
 */
final class Leadership {
  /** Between two probes of the leader: a killed leader is noticed after two. */
  private static final Duration PROBE_EVERY = Duration.ofMillis(250);

  /** A VM that is not among the first to take over probes more seldom. */
  private static final Duration SELDOM_PROBE = Duration.ofMillis(1000);

  /** So many VMs watch the leader closely; their number does not grow with the fleet. */
  private static final int CLOSE_WATCHERS = 8;

  /** Failed calls do not set off probes more often than this. */
  private static final Duration SHORTEST_PROBE = Duration.ofMillis(60);

  /** Probes without an answer; more would only add to the load of a slow leader. */
  private static final int MOST_PROBES = 4;

  /** A VM whose leader answered so lately says at once that it hears it. */
  private static final Duration HEARD_LATELY = Duration.ofMillis(300);

  /** A VM that is asked for its opinion waits so long for a leader that answers quickly. */
  private static final Duration OPINION_WAIT = Duration.ofMillis(250);

  /** The way of an opinion; those that do not come are not counted. */
  private static final Duration OPINION_WAY = Duration.ofMillis(150);

  /** After the others have kept the leader it is not suspected again for so long. */
  private static final Duration KEPT = Duration.ofMillis(500);

  /** A new leader that takes nothing in for so long does not reach the store. */
  private static final Duration STALLED = Duration.ofMillis(1800);

  /** The next strongest VM waits so long for the stronger one. */
  private static final Duration RANK_DELAY = Duration.ofMillis(120);

  /** At the very first start the VMs register one after the other. */
  private static final Duration FIRST_DELAY = Duration.ofMillis(700);

  /** A VM that reaches no other VM may be the one that is cut off. */
  private static final Duration ALONE_DELAY = Duration.ofMillis(1500);

  /** A leader whose commits take longer may write nothing while it is watched in the store. */
  private static final Duration ALONE_CHECK = Duration.ofMillis(1200);

  /** A leader that has won but does not say so yet, or has just given up. */
  private static final Duration NOT_LEADING_GRACE = Duration.ofMillis(1200);

  /** A leader that stops hands over by itself; the store may be slow meanwhile. */
  private static final Duration HANDOVER_GRACE = Duration.ofMillis(3500);

  private static final Duration RETRY = Duration.ofMillis(150);

  /** A leader that was refused asks the others once who leads. */
  private static final Duration FENCED_ASK = Duration.ofMillis(400);

  /** What the leadership asks of its owner. */
  interface Owner {
    /** This VM leads now. */
    void lead(Term term);

    /** Another VM leads. */
    void follow(LeaderRecord leader);

    /** The newest configuration that this VM has. */
    long configVersion();

    /** A peer has another configuration. */
    void configBehind();
  }

  private final VmPorts ports;
  private final Roster roster;
  private final Owner owner;
  private Optional<LeaderRecord> leader = Optional.empty();
  private long leaderVersion;
  private boolean known;
  private long wonEpoch;
  private final Suspicion suspicion;
  private final StoreCheck storeCheck;
  private final ArrayDeque<Long> unanswered = new ArrayDeque<>();
  private final List<Consumer<Boolean>> opinions = new ArrayList<>();
  private Runnable whenServing = () -> {};
  private boolean serving;
  private long progress;
  private long progressedMillis;
  private long keptMillis = Long.MIN_VALUE / 2;
  private long ledMillis = Long.MIN_VALUE / 2;
  private boolean reading;
  private long probedMillis = Long.MIN_VALUE / 2;
  private long fencedMillis = Long.MIN_VALUE / 2;
  private boolean suspecting;
  private boolean claiming;
  private boolean stopping;

  Leadership(VmPorts ports, Roster roster, Owner owner) {
    this.ports = ports;
    this.roster = roster;
    this.owner = owner;
    this.suspicion = new Suspicion(ports.clock());
    this.storeCheck = new StoreCheck(ports.store(), ports.timers());
  }

  Optional<LeaderRecord> leader() {
    return leader;
  }

  boolean leading() {
    return leader.map(record -> record.life().equals(roster.self().life())).orElse(false);
  }

  long epoch() {
    return leader.map(LeaderRecord::epoch).orElse(0L);
  }

  boolean hearsLeader() {
    return leading() || (leader.isPresent() && !suspicion.silent());
  }

  /** Tells whether the leader is another VM and takes calls, as far as this VM knows. */
  boolean leaderServes() {
    return serving && !leading();
  }

  /** Sets what is run when the leader begins to take calls, or another one takes over. */
  void whenServing(Runnable action) {
    whenServing = action;
  }

  /** The leader has answered that it does not take calls. */
  void notServing() {
    serving = false;
  }

  /** The leader has answered a call. */
  void leaderAnswered() {
    suspicion.heard();
  }

  /** Returns how long answers of the leader take at most, by those seen lately. */
  Duration slowAnswer() {
    return suspicion.slowAnswer();
  }

  /** Returns how many changes of the leader came soon after another, also those to this VM. */
  int changesInRow() {
    return suspicion.changesInRow();
  }

  void stopping() {
    stopping = true;
  }

  boolean isStopping() {
    return stopping;
  }

  /** Starts to watch the leader. */
  void start() {
    probeForever();
  }

  /** Takes in the row of the leader, or its absence. */
  void read(Optional<TableRow> row) {
    if (row.isEmpty()) {
      if (!known) {
        known = true;
        suspect("no leader yet", FIRST_DELAY);
      }
      return;
    }
    known = true;
    if (row.get().version() <= leaderVersion && leader.isPresent()) {
      return;
    }
    try {
      take(Rows.decode(LeaderRecord.class, row.get().value()), row.get().version());
    } catch (InvalidFieldException e) {
      ports.log().event("row-unreadable", "leader", "reason", e.getMessage());
    }
  }

  private void take(LeaderRecord record, long version) {
    leaderVersion = version;
    if (record.epoch() < epoch()) {
      return;
    }
    boolean changed = !leader.equals(Optional.of(record));
    leader = Optional.of(record);
    if (!changed) {
      return;
    }
    suspecting = false;
    serving = false;
    unanswered.clear();
    suspicion.follow();
    if (leading()) {
      won(record.epoch(), version);
      return;
    }
    if (record.vm().equals(roster.self().vm())) {
      // An earlier life of this very VM, which has certainly ended.
      ports.timers().after(Duration.ZERO, () -> claim("its former life led"));
      return;
    }
    ledMillis = ports.clock().millis();
    progressedMillis = ledMillis;
    progress = 0;
    ports.log().event("leader-changed", record.vm(), "epoch", record.epoch(), "version", version);
    owner.follow(record);
    whenServing.run();
  }

  private void won(long epoch, long version) {
    if (epoch <= wonEpoch) {
      return;
    }
    wonEpoch = epoch;
    ports.log().event("leader-won", roster.self().vm(), "epoch", epoch, "version", version);
    owner.lead(new Term(epoch, version));
  }

  private void probeForever() {
    probeNow();
    if (leader.isPresent() && !leading() && suspicion.silent()) {
      suspect("it is silent", Duration.ZERO);
    }
    ports.timers().after(probeEvery(), this::probeForever);
  }

  private Duration probeEvery() {
    boolean close =
        suspicion.silentFor().compareTo(PROBE_EVERY) >= 0
            || roster.rank(roster.others()) < CLOSE_WATCHERS;
    return close ? PROBE_EVERY : SELDOM_PROBE;
  }

  /** Probes the leader beside the regular probes, as when a call to it has failed. */
  void probeNow() {
    long now = ports.clock().millis();
    boolean may = now - probedMillis >= SHORTEST_PROBE.toMillis();
    if (leader.isPresent() && !leading() && may && unanswered.size() < MOST_PROBES) {
      probedMillis = now;
      probe(leader.get(), now);
    }
  }

  private void probe(LeaderRecord record, long sentMillis) {
    unanswered.add(sentMillis);
    suspicion.asked();
    ports
        .peers()
        .call(
            VmId.of(record.vm()),
            new VmProbe(false, false, record.epoch(), owner.configVersion()),
            Suspicion.LONGEST)
        .whenComplete(
            (answer, error) ->
                ports
                    .timers()
                    .after(Duration.ZERO, () -> probed(record, sentMillis, answer, error)));
  }

  private void probed(LeaderRecord record, long sentMillis, Object answer, Throwable error) {
    if (!leader.equals(Optional.of(record))) {
      return;
    }
    unanswered.remove(sentMillis);
    if (answer instanceof VmStatus status) {
      hear(status);
      if (!leader.equals(Optional.of(record))) {
        return;
      }
      if (status.life().equals(record.life())) {
        heard(status, sentMillis);
      } else {
        tellOpinions(false);
        suspect("its process is new", Duration.ZERO);
      }
      return;
    }
    if (error instanceof PeerException failure && failure.connectionRefused()) {
      tellOpinions(false);
      suspect("its process is gone", Duration.ZERO);
    }
  }

  private void heard(VmStatus status, long sentMillis) {
    long now = ports.clock().millis();
    suspicion.answered(Duration.ofMillis(now - sentMillis), !unanswered.isEmpty());
    if (status.configVersion() > owner.configVersion()) {
      owner.configBehind();
    }
    if (status.progress() != progress) {
      progress = status.progress();
      progressedMillis = now;
    }
    final boolean began = status.serving() && !serving;
    serving = status.serving() && status.leading();
    tellOpinions(true);
    if (status.leading() && !status.stopping()) {
      ledMillis = now;
    }
    Duration grace = status.leading() ? HANDOVER_GRACE : NOT_LEADING_GRACE;
    if (now - ledMillis > grace.toMillis()) {
      suspect("it does not lead", Duration.ZERO);
    } else if (!status.serving() && now - progressedMillis > STALLED.toMillis()) {
      suspect("it takes nothing in", Duration.ZERO);
    } else if (serving && suspecting) {
      ports.log().event("leader-answered", leader.get().vm(), "tookMs", now - sentMillis);
      suspecting = false;
    }
    if (began) {
      whenServing.run();
    }
  }

  private void tellOpinions(boolean hears) {
    List<Consumer<Boolean>> asked = List.copyOf(opinions);
    opinions.clear();
    asked.forEach(opinion -> opinion.accept(hears));
  }

  /** Tells another VM whether this one hears the leader: it looks, unless it has just heard it. */
  void opinion(Consumer<Boolean> answer) {
    if (leading() || leader.isEmpty()) {
      answer.accept(leading());
      return;
    }
    if (suspicion.silentFor().isZero() && suspicion.heardWithin(HEARD_LATELY)) {
      answer.accept(true);
      return;
    }
    opinions.add(answer);
    probeNow();
    ports
        .timers()
        .after(
            OPINION_WAIT.plus(suspicion.slowAnswer()),
            () -> {
              if (opinions.remove(answer)) {
                answer.accept(false);
              }
            });
  }

  /** Asks the other VMs whether they hear the leader, and takes over if most do not. */
  private void suspect(String reason, Duration delay) {
    boolean kept = ports.clock().millis() - keptMillis < KEPT.toMillis();
    if (suspecting || stopping || leading() || kept) {
      return;
    }
    suspecting = true;
    ports
        .log()
        .event(
            "leader-suspected",
            leader.map(LeaderRecord::vm).orElse(""),
            "reason",
            reason,
            "epoch",
            epoch(),
            "silentMs",
            suspicion.silentFor().toMillis(),
            "patienceMs",
            suspicion.patience().toMillis());
    ports.timers().after(delay, this::askOthers);
  }

  private void askOthers() {
    if (!suspecting) {
      return;
    }
    List<VmRecord> others = new ArrayList<>(roster.others());
    others.removeIf(vm -> leader.map(record -> record.vm().equals(vm.vm())).orElse(false));
    if (others.isEmpty()) {
      claimAfter(List.of(), 0);
      return;
    }
    List<VmRecord> answered = new ArrayList<>();
    int[] hearing = {0};
    int[] open = {others.size()};
    Duration timeout = OPINION_WAIT.plus(suspicion.slowAnswer()).plus(OPINION_WAY);
    for (VmRecord other : others) {
      ports
          .peers()
          .call(
              VmId.of(other.vm()),
              new VmProbe(false, true, epoch(), owner.configVersion()),
              timeout)
          .whenComplete(
              (answer, error) ->
                  ports
                      .timers()
                      .after(
                          Duration.ZERO,
                          () -> {
                            if (answer instanceof VmStatus status) {
                              hear(status);
                              hearing[0] += status.hearsLeader() ? 1 : 0;
                              if (!status.stopping()) {
                                answered.add(other);
                              }
                            }
                            if (--open[0] == 0) {
                              judge(answered, hearing[0], others.size());
                            }
                          }));
    }
  }

  private void judge(List<VmRecord> answered, int hearing, int asked) {
    if (!suspecting) {
      return;
    }
    if (leader.isPresent() && 2 * hearing > answered.size()) {
      ports.log().event("leader-kept", leader.get().vm(), "hearing", hearing, "asked", asked);
      suspecting = false;
      keptMillis = ports.clock().millis();
      return;
    }
    claimAfter(answered, asked);
  }

  private void claimAfter(List<VmRecord> rivals, int asked) {
    Duration delay = RANK_DELAY.multipliedBy(roster.rank(rivals));
    if (rivals.isEmpty() && asked > 0) {
      claimAlone();
      return;
    }
    long epoch = epoch();
    ports
        .timers()
        .after(
            delay,
            () -> {
              if (suspecting && epoch == epoch()) {
                suspecting = false;
                claim("suspected");
              }
            });
  }

  /**
   * Claims only if the leader writes nothing for a while: a VM that reaches no other VM may itself
   * be the one that is cut off. A leader whose writes the store does not take writes nothing
   * either, so this VM writes before and after.
   */
  private void claimAlone() {
    long epoch = epoch();
    ifStoreTakesWrites(
        () ->
            readHead(
                before ->
                    ports
                        .timers()
                        .after(
                            ALONE_DELAY,
                            () ->
                                readHead(
                                    after ->
                                        ifStoreTakesWrites(
                                            () -> judgeAlone(epoch, before.equals(after)))))));
  }

  private void ifStoreTakesWrites(Runnable then) {
    storeCheck.write(
        ALONE_CHECK,
        outcome -> {
          if (outcome == StoreCheck.Outcome.REACHED) {
            then.run();
            return;
          }
          ports.log().event("leader-not-watched", roster.self().vm(), "storeCheck", outcome);
          suspecting = false;
          keptMillis = ports.clock().millis();
        });
  }

  private void judgeAlone(long epoch, boolean idle) {
    ports.log().event("leader-watched", roster.self().vm(), "idle", idle);
    suspecting = false;
    keptMillis = ports.clock().millis();
    if (idle && epoch == epoch()) {
      claim("no other VM answers and nothing is written");
    }
  }

  private void readHead(Consumer<Long> version) {
    var unused =
        ports
            .store()
            .read(Rows.HEAD_TABLE, Rows.PART, "", 1)
            .subscribe(
                page ->
                    version.accept(
                        page.rows().stream().findFirst().map(TableRow::version).orElse(0L)),
                error -> {
                  ports.log().event("store-read-failed", "head", "reason", error.getMessage());
                  suspecting = false;
                });
  }

  /** Tries to become the leader by a conditional write. */
  void claim(String reason) {
    if (claiming || stopping || leading() || !known) {
      return;
    }
    claiming = true;
    LeaderRecord mine = new LeaderRecord(roster.self().vm(), roster.self().life(), epoch() + 1);
    ports.log().event("leader-claim", mine.vm(), "epoch", mine.epoch(), "reason", reason);
    TableCommit commit =
        new TableCommit(
            Rows.PART,
            List.of(new Expected(Rows.LEADER, leaderVersion)),
            List.of(
                new Put(Rows.LEADER, Rows.encode(mine)),
                new Put(Rows.HEAD, Rows.encode(new HeadRecord(mine.epoch(), 0)))),
            List.of());
    var unused = ports.store().commit(commit).subscribe(result -> claimed(mine, result));
  }

  private void claimed(LeaderRecord mine, CommitResult result) {
    claiming = false;
    switch (result.kind()) {
      case DONE -> take(mine, result.version());
      case CONFLICT -> read(result.current().stream().findFirst());
      case REFUSED, UNKNOWN -> {
        ports.log().event("leader-claim-failed", mine.vm(), "outcome", result.kind());
        ports.timers().after(RETRY, this::readLeader);
      }
      default -> throw new IllegalStateException("kind: " + result.kind());
    }
  }

  /** Takes in which leader another VM knows, as when this one does not reach the store. */
  void hear(VmStatus status) {
    if (status.epoch() <= epoch() || status.leaderVm().isEmpty()) {
      return;
    }
    LeaderRecord record = new LeaderRecord(status.leaderVm(), status.leaderLife(), status.epoch());
    ports.log().event("leader-heard", record.vm(), "epoch", record.epoch());
    take(record, leaderVersion);
  }

  /** A worker or the store has refused this leader: another one must be known somewhere. */
  void fenced() {
    readLeader();
    if (ports.clock().millis() - fencedMillis < RETRY.toMillis()) {
      return;
    }
    fencedMillis = ports.clock().millis();
    for (VmRecord other : roster.others()) {
      ports
          .peers()
          .call(
              VmId.of(other.vm()),
              new VmProbe(false, false, epoch(), owner.configVersion()),
              FENCED_ASK)
          .thenAccept(
              answer ->
                  ports
                      .timers()
                      .after(
                          Duration.ZERO,
                          () -> {
                            if (answer instanceof VmStatus status) {
                              hear(status);
                            }
                          }));
    }
  }

  /** Reads the row of the leader beside the changes that are followed; one read at a time. */
  void readLeader() {
    if (reading) {
      return;
    }
    reading = true;
    var unused =
        ports
            .store()
            .read(Rows.LEADER_TABLE, Rows.PART, "", 1)
            .subscribe(
                page -> {
                  reading = false;
                  read(page.rows().stream().findFirst());
                  if (leader.isEmpty()) {
                    suspect("no leader yet", Duration.ZERO);
                  }
                },
                error -> {
                  reading = false;
                  ports.timers().after(RETRY, this::readLeader);
                });
  }

  /** Another VM asks this one to take over. */
  void invited(LeadCell invitation) {
    if (invitation.epoch() >= epoch()) {
      claim("invited: " + invitation.reason());
    }
  }
}

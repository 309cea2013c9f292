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
 * Elects the VM that leads the cell. The leader row in the store names it, and the epoch of the row
 * rises with each change. The other VMs probe the leader. When most of the VMs that answer a poll
 * do not hear it, the strongest of them takes over with a conditional write. Safety rests on the
 * epoch alone, which is the fencing token: the store and the workers refuse the former leader.
 */
final class LeaderElection {
  /** The interval between probes of the leader; two unanswered ones reveal a killed leader. */
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(250);

  /** The interval for a VM that is not among the first candidates to take over. */
  private static final Duration SLOW_PROBE_INTERVAL = Duration.ofMillis(1000);

  /** The number of VMs that probe often; fixed, so that the load does not grow with the fleet. */
  private static final int FREQUENT_PROBERS = 8;

  /** Limits the rate of the probes that failed calls trigger. */
  private static final Duration MIN_PROBE_INTERVAL = Duration.ofMillis(60);

  /** Limits unanswered probes, since more would only add to the load of a slow leader. */
  private static final int MAX_UNANSWERED_PROBES = 4;

  /** A VM that heard the leader within this time says so without probing it. */
  private static final Duration RECENTLY_HEARD = Duration.ofMillis(300);

  /** How long a polled VM waits for the leader to answer, if the leader usually answers quickly. */
  private static final Duration POLL_PROBE_TIMEOUT = Duration.ofMillis(250);

  /** The time for a poll to travel both ways; VMs that do not answer are not counted. */
  private static final Duration POLL_ROUND_TRIP = Duration.ofMillis(150);

  /** How long the leader is not suspected again after a poll or a check decided to keep it. */
  private static final Duration SUSPICION_COOLDOWN = Duration.ofMillis(500);

  /** A new leader that loads nothing for this long does not reach the store. */
  private static final Duration LOAD_STALL_TIMEOUT = Duration.ofMillis(1800);

  /** How long each candidate waits for the next stronger one to claim. */
  private static final Duration CLAIM_DELAY_PER_RANK = Duration.ofMillis(120);

  /** The delay at the first start of the cell, when the VMs register one after another. */
  private static final Duration FIRST_CLAIM_DELAY = Duration.ofMillis(700);

  /** How long a VM that reaches no other VM watches the store for commits of the leader. */
  private static final Duration ISOLATED_WATCH_TIME = Duration.ofMillis(1500);

  /**
   * The timeout of the store checks; on a slower store a live leader may commit nothing meanwhile.
   */
  private static final Duration ISOLATED_CHECK_TIMEOUT = Duration.ofMillis(1200);

  /** Grace period for a leader that has won but does not know it yet, or has just stepped down. */
  private static final Duration NOT_LEADING_GRACE = Duration.ofMillis(1200);

  /** Grace period for a stopping leader, which hands over by itself, on a slow store. */
  private static final Duration HANDOVER_GRACE = Duration.ofMillis(3500);

  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  /** The timeout of the probes by which a fenced leader asks the other VMs who leads. */
  private static final Duration FENCED_PROBE_TIMEOUT = Duration.ofMillis(400);

  /** Connects the election to its VM. */
  interface Callbacks {
    /** Starts to lead the cell, as this VM has won the election. */
    void lead(Term term);

    /** Follows another VM that leads. */
    void follow(LeaderRecord leader);

    /** Returns the version of the newest configuration that this VM has. */
    long configVersion();
  }

  private final VmPorts ports;
  private final Membership membership;
  private final Callbacks callbacks;
  private Optional<LeaderRecord> leader = Optional.empty();
  private long leaderVersion;
  private boolean leaderRowRead;
  private long wonEpoch;
  private long claimedEpoch;
  private long claimedMillis;
  private final LeaderFailureDetector failureDetector;
  private final StoreCheck storeCheck;
  private final ArrayDeque<Long> unansweredProbes = new ArrayDeque<>();
  private final List<Consumer<Boolean>> pendingLeaderChecks = new ArrayList<>();
  private Runnable servingAction = () -> {};
  private boolean serving;
  private long progress;
  private long lastProgressMillis;
  private long cooldownSinceMillis = Long.MIN_VALUE / 2;
  private long lastLeadingMillis = Long.MIN_VALUE / 2;
  private boolean readingLeaderRow;
  private long lastProbeMillis = Long.MIN_VALUE / 2;
  private long lastFencedMillis = Long.MIN_VALUE / 2;
  private boolean suspecting;
  private boolean claiming;
  private boolean stopping;

  /** Whether no VM of another region answered the latest poll. */
  private boolean otherRegionsSilent;

  LeaderElection(VmPorts ports, Membership membership, Callbacks callbacks) {
    this.ports = ports;
    this.membership = membership;
    this.callbacks = callbacks;
    this.failureDetector = new LeaderFailureDetector(ports.clock());
    this.storeCheck = new StoreCheck(ports.store(), ports.timers());
  }

  Optional<LeaderRecord> leader() {
    return leader;
  }

  boolean leading() {
    return leader.map(record -> record.life().equals(membership.self().life())).orElse(false);
  }

  long epoch() {
    return leader.map(LeaderRecord::epoch).orElse(0L);
  }

  boolean hearsLeader() {
    return leading() || (leader.isPresent() && !failureDetector.timedOut());
  }

  /** Tells whether the leader is another VM and accepts calls, as far as this VM knows. */
  boolean leaderServes() {
    return serving && !leading();
  }

  /** Sets the action that runs when the leader starts to accept calls or another VM takes over. */
  void onLeaderServing(Runnable action) {
    servingAction = action;
  }

  /** Records that the leader answered that it does not accept calls. */
  void leaderNotServing() {
    serving = false;
  }

  /** Records that the leader has answered a call. */
  void leaderAnswered() {
    failureDetector.callAnswered();
  }

  /** Returns an upper estimate of the latency of the leader's answers, from recent ones. */
  Duration slowAnswerTime() {
    return failureDetector.slowAnswerTime();
  }

  /** Returns how many leader changes, including those to this VM, came in quick succession. */
  int consecutiveChanges() {
    return failureDetector.consecutiveChanges();
  }

  void markStopping() {
    stopping = true;
  }

  boolean isStopping() {
    return stopping;
  }

  /** Starts to probe the leader. */
  void start() {
    probePeriodically();
  }

  /** Handles the leader row, or its absence. */
  void onLeaderRow(Optional<TableRow> row) {
    if (row.isEmpty()) {
      if (!leaderRowRead) {
        leaderRowRead = true;
        suspect("no leader yet", FIRST_CLAIM_DELAY);
      }
      return;
    }
    leaderRowRead = true;
    if (row.get().version() <= leaderVersion && leader.isPresent()) {
      return;
    }
    try {
      applyLeader(Rows.decode(LeaderRecord.class, row.get().value()), row.get().version());
    } catch (InvalidFieldException e) {
      ports.log().event("row-unreadable", "leader", "reason", e.getMessage());
    }
  }

  private void applyLeader(LeaderRecord record, long version) {
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
    unansweredProbes.clear();
    otherRegionsSilent = false;
    failureDetector.leaderChanged();
    if (leading()) {
      becomeLeader(record.epoch(), version);
      return;
    }
    if (record.vm().equals(membership.self().vm())) {
      // An earlier incarnation of this VM, whose process has certainly ended.
      ports.timers().after(Duration.ZERO, () -> claim("an earlier incarnation of this VM led"));
      return;
    }
    lastLeadingMillis = ports.clock().millis();
    lastProgressMillis = lastLeadingMillis;
    progress = 0;
    ports.log().event("leader-changed", record.vm(), "epoch", record.epoch(), "version", version);
    callbacks.follow(record);
    servingAction.run();
  }

  private void becomeLeader(long epoch, long version) {
    if (epoch <= wonEpoch) {
      return;
    }
    wonEpoch = epoch;
    ports.log().event("leader-won", membership.self().vm(), "epoch", epoch, "version", version);
    callbacks.lead(new Term(epoch, version, claimedMillis));
  }

  private void probePeriodically() {
    probeNow();
    if (leader.isPresent() && !leading() && failureDetector.timedOut()) {
      suspect("it does not answer", Duration.ZERO);
    }
    ports.timers().after(probeInterval(), this::probePeriodically);
  }

  /** Returns the interval at which this VM probes the leader. */
  Duration probeInterval() {
    boolean frequent =
        failureDetector.silentFor().compareTo(PROBE_INTERVAL) >= 0
            || membership.rank(membership.others()) < FREQUENT_PROBERS;
    return frequent ? PROBE_INTERVAL : SLOW_PROBE_INTERVAL;
  }

  /** Probes the leader outside of the regular interval, for example after a failed call. */
  void probeNow() {
    long now = ports.clock().millis();
    boolean allowed = now - lastProbeMillis >= MIN_PROBE_INTERVAL.toMillis();
    if (leader.isPresent()
        && !leading()
        && allowed
        && unansweredProbes.size() < MAX_UNANSWERED_PROBES) {
      lastProbeMillis = now;
      probe(leader.get(), now);
    }
  }

  private void probe(LeaderRecord record, long sentMillis) {
    unansweredProbes.add(sentMillis);
    failureDetector.probeSent();
    ports
        .peers()
        .call(
            VmId.of(record.vm()),
            new VmProbe(false, false, record.epoch(), callbacks.configVersion()),
            LeaderFailureDetector.MAX_TIMEOUT)
        .whenComplete(
            (answer, error) ->
                ports
                    .timers()
                    .after(Duration.ZERO, () -> onProbeResult(record, sentMillis, answer, error)));
  }

  private void onProbeResult(LeaderRecord record, long sentMillis, Object answer, Throwable error) {
    if (!leader.equals(Optional.of(record))) {
      return;
    }
    unansweredProbes.remove(sentMillis);
    if (answer instanceof VmStatus status) {
      learnLeader(status);
      if (!leader.equals(Optional.of(record))) {
        return;
      }
      if (status.life().equals(record.life())) {
        onProbeAnswer(status, sentMillis);
      } else {
        completeLeaderChecks(false);
        suspect("its process has been restarted", Duration.ZERO);
      }
      return;
    }
    if (error instanceof PeerException failure && failure.connectionRefused()) {
      completeLeaderChecks(false);
      suspect("its process refuses connections", Duration.ZERO);
    }
  }

  private void onProbeAnswer(VmStatus status, long sentMillis) {
    long now = ports.clock().millis();
    failureDetector.probeAnswered(Duration.ofMillis(now - sentMillis), !unansweredProbes.isEmpty());
    if (status.progress() != progress) {
      progress = status.progress();
      lastProgressMillis = now;
    }
    final boolean startedServing = status.serving() && !serving;
    serving = status.serving() && status.leading();
    completeLeaderChecks(true);
    if (status.leading() && !status.stopping()) {
      lastLeadingMillis = now;
    }
    Duration grace = status.leading() ? HANDOVER_GRACE : NOT_LEADING_GRACE;
    if (now - lastLeadingMillis > grace.toMillis()) {
      suspect("it does not lead", Duration.ZERO);
    } else if (!status.serving() && now - lastProgressMillis > LOAD_STALL_TIMEOUT.toMillis()) {
      suspect("it makes no progress in loading the cell", Duration.ZERO);
    } else if (serving && suspecting) {
      ports.log().event("leader-answered", leader.get().vm(), "tookMs", now - sentMillis);
      suspecting = false;
    }
    if (startedServing) {
      servingAction.run();
    }
  }

  private void completeLeaderChecks(boolean hears) {
    List<Consumer<Boolean>> callers = List.copyOf(pendingLeaderChecks);
    pendingLeaderChecks.clear();
    callers.forEach(caller -> caller.accept(hears));
  }

  /** Answers whether this VM hears the leader; probes the leader unless it was heard just now. */
  void checkLeader(Consumer<Boolean> answer) {
    if (leading() || leader.isEmpty()) {
      answer.accept(leading());
      return;
    }
    if (failureDetector.silentFor().isZero() && failureDetector.answeredWithin(RECENTLY_HEARD)) {
      answer.accept(true);
      return;
    }
    pendingLeaderChecks.add(answer);
    probeNow();
    ports
        .timers()
        .after(
            POLL_PROBE_TIMEOUT.plus(failureDetector.slowAnswerTime()),
            () -> {
              if (pendingLeaderChecks.remove(answer)) {
                answer.accept(false);
              }
            });
  }

  /** Polls the other VMs whether they hear the leader, and takes over if most do not. */
  private void suspect(String reason, Duration delay) {
    boolean coolingDown =
        ports.clock().millis() - cooldownSinceMillis < SUSPICION_COOLDOWN.toMillis();
    if (suspecting || stopping || leading() || coolingDown) {
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
            failureDetector.silentFor().toMillis(),
            "patienceMs",
            failureDetector.timeout().toMillis());
    ports.timers().after(delay, this::pollOthers);
  }

  private void pollOthers() {
    if (!suspecting) {
      return;
    }
    List<VmRecord> others = new ArrayList<>(membership.others());
    others.removeIf(vm -> leader.map(record -> record.vm().equals(vm.vm())).orElse(false));
    if (others.isEmpty()) {
      claimByRank(List.of(), 0);
      return;
    }
    List<VmRecord> answered = new ArrayList<>();
    int[] hearing = {0};
    int[] pending = {others.size()};
    Duration timeout =
        POLL_PROBE_TIMEOUT.plus(failureDetector.slowAnswerTime()).plus(POLL_ROUND_TRIP);
    for (VmRecord other : others) {
      ports
          .peers()
          .call(
              VmId.of(other.vm()),
              new VmProbe(false, true, epoch(), callbacks.configVersion()),
              timeout)
          .whenComplete(
              (answer, error) ->
                  ports
                      .timers()
                      .after(
                          Duration.ZERO,
                          () -> {
                            if (answer instanceof VmStatus status) {
                              learnLeader(status);
                              hearing[0] += status.hearsLeader() ? 1 : 0;
                              if (!status.stopping()) {
                                answered.add(other);
                              }
                            }
                            if (--pending[0] == 0) {
                              evaluatePoll(answered, hearing[0], others.size());
                            }
                          }));
    }
  }

  private void evaluatePoll(List<VmRecord> answered, int hearing, int polled) {
    if (!suspecting) {
      return;
    }
    otherRegionsSilent = mayBeCutOff(answered);
    if (leader.isPresent() && 2 * hearing > answered.size()) {
      ports.log().event("leader-kept", leader.get().vm(), "hearing", hearing, "asked", polled);
      suspecting = false;
      cooldownSinceMillis = ports.clock().millis();
      return;
    }
    claimByRank(answered, polled);
  }

  private void claimByRank(List<VmRecord> candidates, int polled) {
    Duration delay = CLAIM_DELAY_PER_RANK.multipliedBy(membership.rank(candidates));
    boolean isolated = candidates.isEmpty() && polled > 0;
    if (isolated || mayBeCutOff(candidates)) {
      claimIsolated(delay);
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
   * Tells whether the region of this VM may be cut off from the leader: the leader is in another
   * one, and no VM of another region answers. When the link returns, a claim must not come before
   * the next answer of a leader that was there all the time.
   */
  private boolean mayBeCutOff(List<VmRecord> answered) {
    String ownRegion = membership.self().region();
    return leaderInOtherRegion() && answered.stream().allMatch(vm -> vm.region().equals(ownRegion));
  }

  /**
   * Tells whether the leader is in another region, and no VM of another region answered the latest
   * poll.
   */
  boolean cutOffFromLeader() {
    return otherRegionsSilent && leaderInOtherRegion() && !hearsLeader();
  }

  /** Tells whether the leader is in another region than this VM. */
  boolean leaderInOtherRegion() {
    String ownRegion = membership.self().region();
    return leader
            .flatMap(record -> membership.find(record.vm()))
            .map(vm -> !vm.region().isEmpty() && !vm.region().equals(ownRegion))
            .orElse(false)
        && !ownRegion.isEmpty();
  }

  /**
   * Claims only if the leader commits nothing for a while, since a VM that reaches no other VM, or
   * none of another region, may itself be the one that is cut off. A leader whose writes the store
   * does not accept commits nothing either, so this VM checks with a write before and after.
   */
  private void claimIsolated(Duration delay) {
    long epoch = epoch();
    ifStoreAcceptsWrites(
        () ->
            readHeadVersion(
                before ->
                    ports
                        .timers()
                        .after(
                            ISOLATED_WATCH_TIME,
                            () ->
                                readHeadVersion(
                                    after ->
                                        ifStoreAcceptsWrites(
                                            () ->
                                                claimIfLeaderIdle(
                                                    epoch, before.equals(after), delay))))));
  }

  private void ifStoreAcceptsWrites(Runnable then) {
    storeCheck.run(
        ISOLATED_CHECK_TIMEOUT,
        outcome -> {
          if (outcome == StoreCheck.Outcome.REACHED) {
            then.run();
            return;
          }
          ports.log().event("leader-not-watched", membership.self().vm(), "storeCheck", outcome);
          suspecting = false;
          cooldownSinceMillis = ports.clock().millis();
        });
  }

  private void claimIfLeaderIdle(long epoch, boolean idle, Duration delay) {
    ports.log().event("leader-watched", membership.self().vm(), "idle", idle);
    suspecting = false;
    cooldownSinceMillis = ports.clock().millis();
    if (!idle || epoch != epoch()) {
      return;
    }
    String reason = "no other VM answers and the leader commits nothing";
    if (delay.isZero()) {
      claim(reason);
      return;
    }
    ports
        .timers()
        .after(
            delay,
            () -> {
              boolean linkReturned = leaderInOtherRegion() && hearsLeader();
              if (epoch == epoch() && !linkReturned) {
                claim(reason);
              }
            });
  }

  private void readHeadVersion(Consumer<Long> version) {
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

  /** Tries to become the leader with a conditional write. */
  void claim(String reason) {
    if (claiming || stopping || leading() || !leaderRowRead) {
      return;
    }
    claiming = true;
    LeaderRecord candidate =
        new LeaderRecord(membership.self().vm(), membership.self().life(), epoch() + 1);
    if (candidate.epoch() != claimedEpoch) {
      claimedEpoch = candidate.epoch();
      claimedMillis = ports.clock().millis();
    }
    ports.log().event("leader-claim", candidate.vm(), "epoch", candidate.epoch(), "reason", reason);
    TableCommit commit =
        new TableCommit(
            Rows.PART,
            List.of(new Expected(Rows.LEADER, leaderVersion)),
            List.of(
                new Put(Rows.LEADER, Rows.encode(candidate)),
                new Put(Rows.HEAD, Rows.encode(new HeadRecord(candidate.epoch(), 0)))),
            List.of());
    var unused = ports.store().commit(commit).subscribe(result -> onClaimResult(candidate, result));
  }

  private void onClaimResult(LeaderRecord candidate, CommitResult result) {
    claiming = false;
    switch (result.kind()) {
      case DONE -> applyLeader(candidate, result.version());
      case CONFLICT -> onLeaderRow(result.current().stream().findFirst());
      case REFUSED, UNKNOWN -> {
        ports.log().event("leader-claim-failed", candidate.vm(), "outcome", result.kind());
        ports.timers().after(RETRY_DELAY, this::readLeaderRow);
      }
      default -> throw new IllegalStateException("unknown kind of commit result: " + result.kind());
    }
  }

  /** Learns the leader from another VM, for example while this one does not reach the store. */
  void learnLeader(VmStatus status) {
    if (status.epoch() <= epoch() || status.leaderVm().isEmpty()) {
      return;
    }
    LeaderRecord record = new LeaderRecord(status.leaderVm(), status.leaderLife(), status.epoch());
    ports.log().event("leader-heard", record.vm(), "epoch", record.epoch());
    if (record.life().equals(membership.self().life())) {
      // Only the store tells the version of the row, on which the commits of a leader depend.
      readLeaderRow();
      return;
    }
    applyLeader(record, leaderVersion);
  }

  /** Finds out who leads after a worker or the store has fenced this leader off. */
  void onFenced() {
    readLeaderRow();
    if (ports.clock().millis() - lastFencedMillis < RETRY_DELAY.toMillis()) {
      return;
    }
    lastFencedMillis = ports.clock().millis();
    for (VmRecord other : membership.others()) {
      ports
          .peers()
          .call(
              VmId.of(other.vm()),
              new VmProbe(false, false, epoch(), callbacks.configVersion()),
              FENCED_PROBE_TIMEOUT)
          .thenAccept(
              answer ->
                  ports
                      .timers()
                      .after(
                          Duration.ZERO,
                          () -> {
                            if (answer instanceof VmStatus status) {
                              learnLeader(status);
                            }
                          }));
    }
  }

  /** Reads the leader row in addition to following its changes; runs one read at a time. */
  void readLeaderRow() {
    if (readingLeaderRow) {
      return;
    }
    readingLeaderRow = true;
    var unused =
        ports
            .store()
            .read(Rows.LEADER_TABLE, Rows.PART, "", 1)
            .subscribe(
                page -> {
                  readingLeaderRow = false;
                  onLeaderRow(page.rows().stream().findFirst());
                  if (leader.isEmpty()) {
                    suspect("no leader yet", Duration.ZERO);
                  }
                },
                error -> {
                  readingLeaderRow = false;
                  ports.timers().after(RETRY_DELAY, this::readLeaderRow);
                });
  }

  /** Claims the leadership on the invitation of another VM, unless a newer leader is known. */
  void onInvitation(LeadCell invitation) {
    if (invitation.epoch() >= epoch()) {
      claim("invited: " + invitation.reason());
    }
  }
}

package org.masticspread.node.launch;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;
import org.masticspread.node.member.Members;
import org.masticspread.node.settings.NodeSettings;
import org.masticspread.state.guard.GuardSettings;
import org.masticspread.state.guard.StoreGuard;
import org.masticspread.state.journal.Journal;
import org.masticspread.state.journal.JournalSettings;
import org.masticspread.state.ownership.OwnershipListener;
import org.masticspread.state.ownership.OwnershipSettings;
import org.masticspread.state.ownership.ShardMap;
import org.masticspread.state.ownership.ShardOwnership;
import org.masticspread.state.ownership.ShardStates;
import org.masticspread.state.session.SessionKeeper;
import org.masticspread.state.session.SessionTiming;
import org.masticspread.state.session.SessionView;
import org.masticspread.state.session.SessionWatcher;
import org.masticspread.state.shard.JournalRecord;
import org.masticspread.state.shard.Retention;

/**
 * Durable state of a node: session, journal and ownership. Journal and ownership exist once the
 * session is open in the store; until then the node owns no shards and accepts no durable changes.
 */
final class NodeState {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final Duration JOB_RETENTION = Duration.ofDays(1);

  private final NodeSettings settings;
  private final Platform platform;
  private final InstantSource clock;
  private final LongSupplier nanos;
  private final UniformRandomProvider random;
  private final ShardMap map;
  private final SessionTiming times;
  private final TableService table;
  private final ObjectStore objects;
  private final Supplier<? extends OwnershipListener> listener;
  private volatile Incarnation incarnation;
  private volatile boolean storeReached;

  /**
   * Session of one incarnation of this VM, with the state that exists once the session is open;
   * that state is null before.
   */
  private record Incarnation(SessionKeeper session, SessionWatcher watcher, Durable durable) {}

  /** Journal and ownership, which exist once the session is open. */
  private record Durable(Journal journal, ShardOwnership ownership) {}

  NodeState(
      NodeSettings settings,
      Platform platform,
      InstantSource clock,
      LongSupplier nanos,
      UniformRandomProvider random,
      MetricRegistry metrics,
      Supplier<? extends OwnershipListener> listener) {
    this.settings = settings;
    this.platform = platform;
    this.clock = clock;
    this.nanos = nanos;
    this.random = random;
    this.listener = listener;
    this.map = new ShardMap(settings.workShards());
    NodeSettings.Timing timing = settings.timing();
    this.times = new SessionTiming(timing.heartbeat(), timing.sessionTtl(), timing.skewMargin());
    StoreGuard guard = new StoreGuard(GuardSettings.DEFAULT, nanos, random);
    this.table = guard.table(platform.table());
    this.objects = guard.objects(platform.objects());
    this.incarnation = newIncarnation();
    metrics.gauge("store.refused", () -> () -> guard.stats().refused());
    metrics.gauge("store.failures", () -> () -> guard.stats().failures());
    metrics.gauge("journal.rows", () -> () -> journalStat(Journal::rowsWritten));
    metrics.gauge("journal.bytes", () -> () -> journalStat(Journal::bytesWritten));
    metrics.gauge("journal.pending", () -> () -> journalStat(j -> (long) j.pending()));
  }

  private Incarnation newIncarnation() {
    SessionKeeper session =
        new SessionKeeper(
            platform.table(),
            times,
            settings.vm(),
            settings.listenPeers().toString(),
            settings.dataCentre(),
            UUID.randomUUID().toString(),
            nanos);
    SessionWatcher watcher = new SessionWatcher(platform.table(), times, session, nanos);
    return new Incarnation(session, watcher, null);
  }

  private long journalStat(ToLongFunction<Journal> count) {
    Durable durable = incarnation.durable();
    return durable == null ? 0 : count.applyAsLong(durable.journal());
  }

  ShardMap map() {
    return map;
  }

  SessionKeeper session() {
    return incarnation.session();
  }

  /** Returns the table service behind the store guard. Sessions use the unguarded table service. */
  TableService table() {
    return table;
  }

  boolean storeReached() {
    return storeReached;
  }

  Optional<VmIncarnation> incarnation() {
    SessionKeeper session = incarnation.session();
    return session.state().map(s -> session.incarnation());
  }

  /** Returns the VMs with an open session, or empty if the sessions have not been read yet. */
  Optional<Set<VmId>> openVms() {
    SessionView view = incarnation.watcher().view();
    return view.sessions().isEmpty() ? Optional.empty() : Optional.of(view.openVms());
  }

  /** Renews the session, or opens it if it is not open yet. */
  void heartbeat() {
    Incarnation current = incarnation;
    storeReached = current.durable() == null ? open(current) : current.session().heartbeat();
  }

  private boolean open(Incarnation current) {
    try {
      VmIncarnation self = current.session().open();
      incarnation =
          new Incarnation(current.session(), current.watcher(), durable(current.session(), self));
      return true;
    } catch (MasticspreadException e) {
      LOG.atWarning().log("session: not open yet: %s", e.getMessage());
      return false;
    }
  }

  private Durable durable(SessionKeeper session, VmIncarnation self) {
    ShardStates states = new ShardStates();
    Journal journal =
        new Journal(table, self, JournalSettings.DEFAULT, states, clock, nanos, random);
    ShardOwnership ownership =
        new ShardOwnership(
            table, objects, session, journal, states, map, listener.get(), ownershipSettings());
    return new Durable(journal, ownership);
  }

  private OwnershipSettings ownershipSettings() {
    NodeSettings.Timing timing = settings.timing();
    Retention retention =
        new Retention(
            timing.recordRetention(), JOB_RETENTION, JOB_RETENTION, timing.longestAnswer());
    OwnershipSettings base = OwnershipSettings.DEFAULT;
    return new OwnershipSettings(
        retention,
        base.snapshotAfterRows(),
        base.maxSnapshotsPerTick(),
        base.maxTableSnapshotBytes(),
        base.maxTicksBetweenScans());
  }

  /** Fences stale sessions, then claims and hands over shards. */
  void updateOwnership(Members members, Collection<RackId> racks) {
    Incarnation current = incarnation;
    if (current.durable() == null) {
      return;
    }
    try {
      SessionView view = current.watcher().tick();
      Set<VmId> eligible = view.openVms();
      eligible.removeIf(members::isLeaving);
      current.durable().ownership().tick(view, eligible, racks);
    } catch (MasticspreadException e) {
      LOG.atWarning().log("ownership: update failed: %s", e.getMessage());
    }
    beginNewIncarnation(current);
  }

  /**
   * Begins a new incarnation after the session was fenced, as soon as no shard is held and no
   * journal entry is pending under the old one.
   */
  private void beginNewIncarnation(Incarnation old) {
    Durable durable = old.durable();
    boolean oldEnded =
        old.session().isFenced()
            && durable.ownership().held().isEmpty()
            && durable.journal().pending() == 0;
    if (oldEnded) {
      LOG.atWarning().log(
          "session: %s was fenced; beginning a new incarnation", incarnation().orElse(null));
      incarnation = newIncarnation();
    }
  }

  CompletionStage<Void> append(ShardId shard, long epoch, JournalRecord record, Instant deadline) {
    Durable durable = incarnation.durable();
    if (durable == null) {
      return CompletableFuture.failedFuture(
          new MasticspreadException(ResultCode.NOT_OWNER, "no session is open here"));
    }
    return durable.journal().append(shard, epoch, record, deadline);
  }

  void flush() {
    Durable durable = incarnation.durable();
    if (durable != null) {
      durable.journal().flush();
    }
  }

  void withdrawExpired() {
    Durable durable = incarnation.durable();
    if (durable != null) {
      durable.journal().withdrawExpired();
    }
  }

  Duration flushInterval(int liveVms) {
    return JournalSettings.flushInterval(liveVms, settings.storeWritesPerSecond());
  }

  Map<ShardId, Long> held() {
    Durable durable = incarnation.durable();
    return durable == null ? Map.of() : durable.ownership().held();
  }

  /** Continues the release of all shards; returns whether all are released. */
  boolean handOver() {
    Durable durable = incarnation.durable();
    if (durable == null) {
      return true;
    }
    durable.journal().flush();
    return durable.ownership().releaseAll();
  }

  /** Closes the session, so that no peer has to wait for its TTL. */
  void close() {
    Incarnation current = incarnation;
    if (current.durable() != null && !current.session().close()) {
      LOG.atWarning().log("session: cannot close the session; peers fence it after its TTL");
    }
  }
}

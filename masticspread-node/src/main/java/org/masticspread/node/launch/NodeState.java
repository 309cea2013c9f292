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
 * The durable side of a node: session, journal and ownership. They come into being once the store
 * has opened the session; until then nothing is owned and nothing durable is taken.
 */
final class NodeState {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final Duration JOBS_KEPT = Duration.ofDays(1);

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
  private volatile Life life;
  private volatile boolean storeReached;

  /** One life of this VM: its session, and what exists once the session is open. */
  private record Life(SessionKeeper session, SessionWatcher watcher, Durable durable) {}

  /** What exists once the session is open. */
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
    this.life = newLife();
    metrics.gauge("store.refused", () -> () -> guard.stats().refused());
    metrics.gauge("store.failures", () -> () -> guard.stats().failures());
    metrics.gauge("journal.rows", () -> () -> rows(Journal::rowsWritten));
    metrics.gauge("journal.bytes", () -> () -> rows(Journal::bytesWritten));
    metrics.gauge("journal.pending", () -> () -> rows(j -> (long) j.pending()));
  }

  private Life newLife() {
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
    return new Life(session, watcher, null);
  }

  private long rows(ToLongFunction<Journal> count) {
    Durable now = life.durable();
    return now == null ? 0 : count.applyAsLong(now.journal());
  }

  ShardMap map() {
    return map;
  }

  SessionKeeper session() {
    return life.session();
  }

  /** Returns the table service behind the limits of calls; sessions use the bare one. */
  TableService table() {
    return table;
  }

  boolean storeReached() {
    return storeReached;
  }

  Optional<VmIncarnation> incarnation() {
    SessionKeeper session = life.session();
    return session.state().map(s -> session.incarnation());
  }

  /** Returns the VMs with an open session, or empty before the sessions were read once. */
  Optional<Set<VmId>> openVms() {
    SessionView view = life.watcher().view();
    return view.sessions().isEmpty() ? Optional.empty() : Optional.of(view.openVms());
  }

  /** Renews the session; opens it first. */
  void heartbeat() {
    Life now = life;
    storeReached = now.durable() == null ? open(now) : now.session().heartbeat();
  }

  private boolean open(Life now) {
    try {
      VmIncarnation self = now.session().open();
      life = new Life(now.session(), now.watcher(), durable(now.session(), self));
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
        new Retention(timing.recordRetention(), JOBS_KEPT, JOBS_KEPT, timing.longestAnswer());
    OwnershipSettings base = OwnershipSettings.DEFAULT;
    return new OwnershipSettings(
        retention,
        base.snapshotAfterRows(),
        base.maxSnapshotsPerTick(),
        base.maxTableSnapshotBytes(),
        base.maxTicksBetweenScans());
  }

  /** Fences stale sessions, then claims and hands over shards. */
  void own(Members members, Collection<RackId> racks) {
    Life now = life;
    if (now.durable() == null) {
      return;
    }
    try {
      SessionView view = now.watcher().tick();
      Set<VmId> eligible = view.openVms();
      eligible.removeIf(members::isLeaving);
      now.durable().ownership().tick(view, eligible, racks);
    } catch (MasticspreadException e) {
      LOG.atWarning().log("ownership: no tick: %s", e.getMessage());
    }
    beginAgain(now);
  }

  /** Begins a new life after the session was fenced, once nothing of the old one is left. */
  private void beginAgain(Life old) {
    Durable durable = old.durable();
    boolean over =
        old.session().isFenced()
            && durable.ownership().held().isEmpty()
            && durable.journal().pending() == 0;
    if (over) {
      LOG.atWarning().log("session: %s was fenced; a new life begins", incarnation().orElse(null));
      life = newLife();
    }
  }

  CompletionStage<Void> append(ShardId shard, long epoch, JournalRecord record, Instant until) {
    Durable now = life.durable();
    if (now == null) {
      return CompletableFuture.failedFuture(
          new MasticspreadException(ResultCode.NOT_OWNER, "no session is open here"));
    }
    return now.journal().append(shard, epoch, record, until);
  }

  void flush() {
    Durable now = life.durable();
    if (now != null) {
      now.journal().flush();
    }
  }

  void withdrawExpired() {
    Durable now = life.durable();
    if (now != null) {
      now.journal().withdrawExpired();
    }
  }

  Duration flushInterval(int liveVms) {
    return JournalSettings.flushInterval(liveVms, settings.storeWritesPerSecond());
  }

  Map<ShardId, Long> held() {
    Durable now = life.durable();
    return now == null ? Map.of() : now.ownership().held();
  }

  /** Goes on with the release of all shards; returns whether none is left. */
  boolean handOver() {
    Durable now = life.durable();
    if (now == null) {
      return true;
    }
    now.journal().flush();
    return now.ownership().releaseAll();
  }

  /** Ends the session, so that no peer has to wait for its TTL. */
  void close() {
    Life now = life;
    if (now.durable() != null && !now.session().close()) {
      LOG.atWarning().log("session: not closed; peers fence it after its TTL");
    }
  }
}

package org.masticspread.state.ownership;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.ShardKind;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.journal.Journal;
import org.masticspread.state.ownership.ShardTable.Versioned;
import org.masticspread.state.session.SessionKeeper;
import org.masticspread.state.session.SessionState;
import org.masticspread.state.session.SessionView;
import org.masticspread.state.shard.WorkShardState;

/**
 * Claims, recovers, hands over and releases the shards of this VM.
 *
 * <p>Example: {@code ownership.tick(watcher.tick(), eligibleVms, racks)} after each heartbeat. A
 * tick costs one scan of the shard rows (one per 500 shards) while VMs or racks change or something
 * is to be done, and none in most other ticks; one write per claim, release or snapshot; a takeover
 * also costs one scan of each journal that it replays. Thread-safe; ticks run one after another and
 * block on the stores.
 */
public final class ShardOwnership {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /**
   * A claim that may have taken effect, or still may, and whose shard is not held yet. Its sources
   * must be kept, and it is repeated as it is.
   *
   * @param version the version of the row that it depends on
   * @param claimed the row that it writes
   */
  private record ClaimInDoubt(long version, ShardRow claimed) {}

  private final SessionKeeper session;
  private final Journal journal;
  private final ShardStates states;
  private final ShardMap map;
  private final OwnershipListener listener;
  private final OwnershipSettings settings;
  private final TableService table;
  private final ObjectStore objects;
  private final ShardTable shardTable;
  private final ShardSnapshots snapshots;
  private final JournalCollector collector;
  private final ScanSchedule schedule;

  private final Map<ShardId, HeldShard> held = new TreeMap<>();
  private Map<ShardId, Versioned> rows = Map.of();
  private final Map<ShardId, ClaimInDoubt> claimsInDoubt = new HashMap<>();
  private volatile Map<ShardId, ShardOwner> owners = Map.of();
  private volatile Map<ShardId, Long> heldEpochs = Map.of();

  /**
   * Creates the ownership of this VM; holds nothing yet.
   *
   * @param table the table service
   * @param objects the object store
   * @param session the open session of this VM
   * @param journal its journal, whose sink is {@code states}
   * @param states receives the states of held shards
   * @param map the mapping of shards to VMs
   * @param listener is told what is held
   * @param settings the limits
   */
  public ShardOwnership(
      TableService table,
      ObjectStore objects,
      SessionKeeper session,
      Journal journal,
      ShardStates states,
      ShardMap map,
      OwnershipListener listener,
      OwnershipSettings settings) {
    this.table = table;
    this.objects = objects;
    this.session = session;
    this.journal = journal;
    this.states = states;
    this.map = map;
    this.listener = listener;
    this.settings = settings;
    this.shardTable = new ShardTable(table);
    this.snapshots = new ShardSnapshots(shardTable, objects, journal, states, settings);
    this.collector = new JournalCollector(table);
    this.schedule = new ScanSchedule(settings.maxTicksBetweenScans());
  }

  /**
   * Reads the shard rows if that is due, then claims, recovers, hands over and snapshots what is
   * due.
   *
   * @param sessions the sessions, read before this call
   * @param eligible the VMs that may own shards
   * @param racks the racks of the configuration in force
   * @throws StoreException if the table service does not answer the scan; nothing changes then
   * @throws RecordFormatException if a shard row can't be read
   */
  public synchronized void tick(SessionView sessions, Set<VmId> eligible, Collection<RackId> racks)
      throws StoreException, RecordFormatException {
    if (session.isFenced() || journal.isFenced()) {
      loseAll();
      return;
    }
    if (schedule.isDue(sessions, eligible, new TreeSet<>(racks))) {
      scan();
      if (!session.isHeld()) {
        return;
      }
      boolean settled = decideAll(sessions, eligible, wanted(racks));
      collector.collect(sessions, rows.values(), eligible, self());
      schedule.scanned(settled && !collector.isBusy());
    }
    if (!session.isHeld()) {
      return;
    }
    if (!snapshots.writeDue(held.values())) {
      schedule.require();
    }
    trim();
  }

  private void scan() throws StoreException, RecordFormatException {
    rows = shardTable.scan();
    owners = ownersOf(rows);
    dropForeign();
    claimsInDoubt.entrySet().removeIf(c -> isSuperseded(c.getValue(), rows.get(c.getKey())));
  }

  /** Acts on each shard; returns whether there was nothing to do. */
  private boolean decideAll(SessionView sessions, Set<VmId> eligible, Set<ShardId> wanted) {
    ShardRecovery recovery = new ShardRecovery(table, objects, settings.retention());
    boolean settled = true;
    for (ShardId shard : wanted) {
      Versioned row = rows.getOrDefault(shard, Versioned.NEVER_OWNED);
      Optional<VmId> desired = map.owner(shard, eligible);
      settled &= isSettled(shard, row.row(), desired, sessions);
      decide(shard, row, desired, sessions, recovery);
    }
    for (ShardId shard : List.copyOf(held.keySet())) {
      if (!wanted.contains(shard)) {
        settled = false;
        handOver(held.get(shard));
      }
    }
    return settled;
  }

  private boolean isSettled(
      ShardId shard, ShardRow row, Optional<VmId> desired, SessionView sessions) {
    VmIncarnation owner = row.owner();
    if (owner == null || !desired.equals(Optional.of(owner.vm()))) {
      return false;
    }
    boolean open = sessions.state(owner).equals(Optional.of(SessionState.OPEN));
    HeldShard holding = held.get(shard);
    return open && (!owner.equals(self()) || (holding != null && !holding.isReleasing()));
  }

  private VmIncarnation self() {
    return session.incarnation();
  }

  private Set<ShardId> wanted(Collection<RackId> racks) {
    Set<ShardId> wanted = new TreeSet<>();
    map.workShards().forEach(wanted::add);
    racks.forEach(rack -> wanted.add(ShardId.rack(rack)));
    return wanted;
  }

  private static Map<ShardId, ShardOwner> ownersOf(Map<ShardId, Versioned> rows) {
    Map<ShardId, ShardOwner> owners = new HashMap<>();
    rows.forEach(
        (shard, row) -> owners.put(shard, new ShardOwner(row.row().owner(), row.row().epoch())));
    return Map.copyOf(owners);
  }

  private void decide(
      ShardId shard,
      Versioned row,
      Optional<VmId> desired,
      SessionView sessions,
      ShardRecovery recovery) {
    boolean mine = desired.isPresent() && desired.get().equals(self().vm());
    HeldShard holding = held.get(shard);
    if (holding != null) {
      if (holding.isReleasing() || (desired.isPresent() && !mine)) {
        handOver(holding);
      }
      return;
    }
    if (self().equals(row.row().owner())) {
      acquire(shard, row, recovery);
      return;
    }
    if (mine && isFree(row.row(), sessions)) {
      claim(shard, row, recovery);
    }
  }

  private static boolean isFree(ShardRow row, SessionView sessions) {
    if (row.owner() == null) {
      return true;
    }
    Optional<SessionState> state = sessions.state(row.owner());
    return state.isPresent() && state.get() != SessionState.OPEN;
  }

  private void claim(ShardId shard, Versioned before, ShardRecovery recovery) {
    ClaimInDoubt doubted = claimsInDoubt.get(shard);
    boolean repeated = doubted != null && doubted.version() == before.version();
    ShardRow claimed = repeated ? doubted.claimed() : claimOf(shard, before.row());
    try {
      shardTable.write(shard, before.version(), claimed, self());
    } catch (ConditionFailedException e) {
      LOG.atInfo().log("ownership: %s was claimed by another VM", shard);
      return;
    } catch (StoreException e) {
      claimsInDoubt.put(shard, new ClaimInDoubt(before.version(), claimed));
      LOG.atWarning().log("ownership: claim of %s failed: %s", shard, e.getMessage());
      return;
    }
    claimsInDoubt.put(shard, new ClaimInDoubt(before.version(), claimed));
    acquire(shard, new Versioned(claimed, before.version() + 1), recovery);
  }

  private ShardRow claimOf(ShardId shard, ShardRow before) {
    return shard.kind() == ShardKind.RACK
        ? before.claimedBy(self())
        : before.claimedBy(self(), journal.nextSeq());
  }

  private void acquire(ShardId shard, Versioned row, ShardRecovery recovery) {
    WorkShardState state = null;
    if (shard.kind() == ShardKind.WORK) {
      try {
        state = recovery.recover(shard, row.row());
      } catch (MasticspreadException e) {
        LOG.atWarning().log("ownership: recovery of %s failed: %s", shard, e.getMessage());
        listener.recoveryFailed(shard, e);
        return;
      }
      states.hold(shard, row.row().epoch(), state);
    }
    HeldShard holding = new HeldShard(shard, row.row(), row.version());
    held.put(shard, holding);
    claimsInDoubt.remove(shard);
    publishHeld();
    LOG.atInfo().log("ownership: holds %s at epoch %d", shard, row.row().epoch());
    listener.acquired(shard, row.row().epoch(), state);
  }

  private void handOver(HeldShard holding) {
    ShardId shard = holding.shard();
    holding.startRelease();
    if (!listener.prepareRelease(shard, holding.row().epoch())) {
      return;
    }
    states.seal(shard);
    if (journal.pending(shard) > 0) {
      return;
    }
    boolean whole = shard.kind() == ShardKind.RACK || snapshots.tryWrite(holding);
    ShardRow released = holding.row().released(whole);
    try {
      shardTable.write(shard, holding.version(), released, self());
    } catch (ConditionFailedException e) {
      LOG.atWarning().log("ownership: release of %s: its row has changed", shard);
      return;
    } catch (StoreException e) {
      LOG.atWarning().log("ownership: release of %s failed: %s", shard, e.getMessage());
      return;
    }
    lose(holding);
  }

  /** Returns whether another claim came first, so that this one can't take effect any more. */
  private boolean isSuperseded(ClaimInDoubt claim, Versioned read) {
    return read != null && read.version() > claim.version() && !self().equals(read.row().owner());
  }

  private void dropForeign() {
    for (HeldShard holding : List.copyOf(held.values())) {
      Versioned read = rows.get(holding.shard());
      if (read == null || read.version() < holding.version()) {
        continue;
      }
      boolean kept =
          self().equals(read.row().owner()) && read.row().epoch() == holding.row().epoch();
      if (kept) {
        holding.refresh(read.row(), read.version());
      } else {
        lose(holding);
      }
    }
  }

  private void loseAll() {
    List.copyOf(held.values()).forEach(this::lose);
  }

  private void lose(HeldShard holding) {
    held.remove(holding.shard());
    states.drop(holding.shard());
    schedule.require();
    publishHeld();
    LOG.atInfo().log("ownership: lost %s", holding.shard());
    listener.lost(holding.shard(), holding.row().epoch());
  }

  private void publishHeld() {
    Map<ShardId, Long> epochs = new HashMap<>();
    held.forEach((shard, holding) -> epochs.put(shard, holding.row().epoch()));
    heldEpochs = Map.copyOf(epochs);
  }

  /** Deletes the journal rows before all sources: read, held, and claimed in doubt. */
  private void trim() {
    long below = journal.nextSeq();
    for (Versioned row : rows.values()) {
      below = Math.min(below, firstSource(row.row()));
    }
    for (HeldShard holding : held.values()) {
      below = Math.min(below, firstSource(holding.row()));
    }
    for (ClaimInDoubt claim : claimsInDoubt.values()) {
      below = Math.min(below, firstSource(claim.claimed()));
    }
    try {
      journal.trim(below);
    } catch (StoreException e) {
      LOG.atWarning().log("ownership: trim failed: %s", e.getMessage());
    }
  }

  private long firstSource(ShardRow row) {
    return row.sources().stream()
        .filter(source -> source.incarnation().equals(self()))
        .mapToLong(JournalSource::fromSeq)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /**
   * Returns the owners of all shards as last read, for routing.
   *
   * @return the owners by shard
   */
  public Map<ShardId, ShardOwner> owners() {
    return owners;
  }

  /**
   * Returns the shards held by this VM.
   *
   * @return their epochs by shard
   */
  public Map<ShardId, Long> held() {
    return heldEpochs;
  }

  /**
   * Releases all shards at a planned stop. Call it again, with flushes in between, until it returns
   * true; then close the session.
   *
   * @return whether nothing is held any more
   */
  public synchronized boolean releaseAll() {
    if (session.isFenced() || journal.isFenced()) {
      loseAll();
    }
    List.copyOf(held.values()).forEach(this::handOver);
    return held.isEmpty();
  }
}

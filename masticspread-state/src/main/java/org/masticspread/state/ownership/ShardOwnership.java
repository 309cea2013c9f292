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
 * tick costs one scan per 500 shard rows while VMs or racks change or work is pending, and none in
 * most other ticks, plus one write per claim, release or snapshot. A takeover also costs one scan
 * of each journal that it replays. Thread-safe; ticks are serialized and block on the stores.
 */
public final class ShardOwnership {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /**
   * A claim that may have taken effect or may still do so, and whose shard is not held yet. Its
   * journal sources must be kept, and the claim is repeated unchanged.
   *
   * @param version the version of the shard row that the claim is conditional on
   * @param claimed the shard row that the claim writes
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
   * Creates the ownership of this VM, which holds no shard yet.
   *
   * @param table the table service
   * @param objects the object store
   * @param session the open session of this VM
   * @param journal the journal of this VM, whose sink is {@code states}
   * @param states the container for the states of held shards
   * @param map the mapping of shards to VMs
   * @param listener receives changes of the held shards
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
   * Reads the shard rows if a scan is due, then performs the claims, recoveries, handovers and
   * snapshots that are due.
   *
   * @param sessions the sessions, read before this call
   * @param eligible the VMs that may own shards
   * @param racks the racks of the active configuration
   * @throws StoreException if the table service does not answer the scan; nothing was changed
   * @throws RecordFormatException if a shard row can't be read
   */
  public synchronized void tick(SessionView sessions, Set<VmId> eligible, Collection<RackId> racks)
      throws StoreException, RecordFormatException {
    if (session.isFenced() || journal.isFenced()) {
      dropAll();
      return;
    }
    if (schedule.isDue(sessions, eligible, new TreeSet<>(racks))) {
      scan();
      if (!session.isHeld()) {
        return;
      }
      boolean converged = reconcileAll(sessions, eligible, desiredShards(racks));
      collector.collect(sessions, rows.values(), eligible, self());
      schedule.recordScan(converged && !collector.hasPending());
    }
    if (!session.isHeld()) {
      return;
    }
    if (!snapshots.writeDue(held.values())) {
      schedule.requireScan();
    }
    trim();
  }

  private void scan() throws StoreException, RecordFormatException {
    rows = shardTable.scan();
    owners = ownersOf(rows);
    dropLostShards();
    claimsInDoubt.entrySet().removeIf(c -> isSuperseded(c.getValue(), rows.get(c.getKey())));
  }

  /** Reconciles each shard with its desired owner and returns whether there was nothing to do. */
  private boolean reconcileAll(
      SessionView sessions, Set<VmId> eligible, Set<ShardId> desiredShards) {
    ShardRecovery recovery = new ShardRecovery(table, objects, settings.retention());
    boolean converged = true;
    for (ShardId shard : desiredShards) {
      Versioned row = rows.getOrDefault(shard, Versioned.NEVER_OWNED);
      Optional<VmId> desired = map.owner(shard, eligible);
      converged &= isConverged(shard, row.row(), desired, sessions);
      reconcile(shard, row, desired, sessions, recovery);
    }
    for (ShardId shard : List.copyOf(held.keySet())) {
      if (!desiredShards.contains(shard)) {
        converged = false;
        handOver(held.get(shard));
      }
    }
    return converged;
  }

  private boolean isConverged(
      ShardId shard, ShardRow row, Optional<VmId> desired, SessionView sessions) {
    VmIncarnation owner = row.owner();
    if (owner == null || !desired.equals(Optional.of(owner.vm()))) {
      return false;
    }
    boolean open = sessions.state(owner).equals(Optional.of(SessionState.OPEN));
    HeldShard heldShard = held.get(shard);
    return open && (!owner.equals(self()) || (heldShard != null && !heldShard.isReleasing()));
  }

  private VmIncarnation self() {
    return session.incarnation();
  }

  private Set<ShardId> desiredShards(Collection<RackId> racks) {
    Set<ShardId> desiredShards = new TreeSet<>();
    map.workShards().forEach(desiredShards::add);
    racks.forEach(rack -> desiredShards.add(ShardId.rack(rack)));
    return desiredShards;
  }

  private static Map<ShardId, ShardOwner> ownersOf(Map<ShardId, Versioned> rows) {
    Map<ShardId, ShardOwner> owners = new HashMap<>();
    rows.forEach(
        (shard, row) -> owners.put(shard, new ShardOwner(row.row().owner(), row.row().epoch())));
    return Map.copyOf(owners);
  }

  private void reconcile(
      ShardId shard,
      Versioned row,
      Optional<VmId> desired,
      SessionView sessions,
      ShardRecovery recovery) {
    boolean assignedToSelf = desired.isPresent() && desired.get().equals(self().vm());
    HeldShard heldShard = held.get(shard);
    if (heldShard != null) {
      if (heldShard.isReleasing() || (desired.isPresent() && !assignedToSelf)) {
        handOver(heldShard);
      }
      return;
    }
    if (self().equals(row.row().owner())) {
      acquire(shard, row, recovery);
      return;
    }
    if (assignedToSelf && isClaimable(row.row(), sessions)) {
      claim(shard, row, recovery);
    }
  }

  private static boolean isClaimable(ShardRow row, SessionView sessions) {
    if (row.owner() == null) {
      return true;
    }
    Optional<SessionState> state = sessions.state(row.owner());
    return state.isPresent() && state.get() != SessionState.OPEN;
  }

  private void claim(ShardId shard, Versioned before, ShardRecovery recovery) {
    ClaimInDoubt inDoubt = claimsInDoubt.get(shard);
    boolean repeated = inDoubt != null && inDoubt.version() == before.version();
    ShardRow claimed = repeated ? inDoubt.claimed() : claimOf(shard, before.row());
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
    HeldShard heldShard = new HeldShard(shard, row.row(), row.version());
    held.put(shard, heldShard);
    claimsInDoubt.remove(shard);
    publishHeld();
    LOG.atInfo().log("ownership: acquired %s at epoch %d", shard, row.row().epoch());
    listener.acquired(shard, row.row().epoch(), state);
  }

  private void handOver(HeldShard heldShard) {
    ShardId shard = heldShard.shard();
    heldShard.startRelease();
    if (!listener.prepareRelease(shard, heldShard.row().epoch())) {
      return;
    }
    states.seal(shard);
    if (journal.pending(shard) > 0) {
      return;
    }
    boolean complete = shard.kind() == ShardKind.RACK || snapshots.tryWrite(heldShard);
    ShardRow released = heldShard.row().released(complete);
    try {
      shardTable.write(shard, heldShard.version(), released, self());
    } catch (ConditionFailedException e) {
      LOG.atWarning().log("ownership: release of %s failed: its row has changed", shard);
      return;
    } catch (StoreException e) {
      LOG.atWarning().log("ownership: release of %s failed: %s", shard, e.getMessage());
      return;
    }
    drop(heldShard);
  }

  /**
   * Returns whether another VM has claimed the shard first, so that this claim can't take effect
   * any more.
   */
  private boolean isSuperseded(ClaimInDoubt claim, Versioned read) {
    return read != null && read.version() > claim.version() && !self().equals(read.row().owner());
  }

  private void dropLostShards() {
    for (HeldShard heldShard : List.copyOf(held.values())) {
      Versioned read = rows.get(heldShard.shard());
      if (read == null || read.version() < heldShard.version()) {
        continue;
      }
      boolean kept =
          self().equals(read.row().owner()) && read.row().epoch() == heldShard.row().epoch();
      if (kept) {
        heldShard.refresh(read.row(), read.version());
      } else {
        drop(heldShard);
      }
    }
  }

  private void dropAll() {
    List.copyOf(held.values()).forEach(this::drop);
  }

  private void drop(HeldShard heldShard) {
    held.remove(heldShard.shard());
    states.drop(heldShard.shard());
    schedule.requireScan();
    publishHeld();
    LOG.atInfo().log("ownership: no longer holds %s", heldShard.shard());
    listener.lost(heldShard.shard(), heldShard.row().epoch());
  }

  private void publishHeld() {
    Map<ShardId, Long> epochs = new HashMap<>();
    held.forEach((shard, heldShard) -> epochs.put(shard, heldShard.row().epoch()));
    heldEpochs = Map.copyOf(epochs);
  }

  /**
   * Deletes the journal rows before the first one needed by a shard row that was read, a held shard
   * or a claim in doubt.
   */
  private void trim() {
    long below = journal.nextSeq();
    for (Versioned row : rows.values()) {
      below = Math.min(below, firstSource(row.row()));
    }
    for (HeldShard heldShard : held.values()) {
      below = Math.min(below, firstSource(heldShard.row()));
    }
    for (ClaimInDoubt claim : claimsInDoubt.values()) {
      below = Math.min(below, firstSource(claim.claimed()));
    }
    try {
      journal.trim(below);
    } catch (StoreException e) {
      LOG.atWarning().log("ownership: trimming the journal failed: %s", e.getMessage());
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
   * Releases all shards at a graceful shutdown. Call it repeatedly, with journal flushes in
   * between, until it returns true, and then close the session.
   *
   * @return whether no shard is held any more
   */
  public synchronized boolean releaseAll() {
    if (session.isFenced() || journal.isFenced()) {
      dropAll();
    }
    List.copyOf(held.values()).forEach(this::handOver);
    return held.isEmpty();
  }
}

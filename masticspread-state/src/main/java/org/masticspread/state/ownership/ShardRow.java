package org.masticspread.state.ownership;

import java.util.ArrayList;
import java.util.List;
import org.masticspread.model.id.VmIncarnation;

/**
 * The stored row of a shard.
 *
 * @param owner the incarnation that owns the shard; null if the shard is released
 * @param epoch the epoch, incremented by each claim
 * @param snapshot the snapshot to start recovery from; null to start from an empty state
 * @param sources the journals to replay after the snapshot, in this order
 */
public record ShardRow(
    VmIncarnation owner, long epoch, SnapshotRef snapshot, List<JournalSource> sources) {
  /** The row of a shard that was never owned. */
  public static final ShardRow NEVER_OWNED = new ShardRow(null, 0, null, List.of());

  /** Copies the list. */
  public ShardRow {
    sources = List.copyOf(sources);
  }

  /**
   * Returns the row after a claim.
   *
   * @param claimant the new owner
   * @param fromSeq the next position in the journal of the new owner
   * @return the row with the epoch incremented
   */
  ShardRow claimedBy(VmIncarnation claimant, long fromSeq) {
    List<JournalSource> all = new ArrayList<>(sources);
    all.add(new JournalSource(claimant, fromSeq, epoch + 1));
    return new ShardRow(claimant, epoch + 1, snapshot, all);
  }

  /**
   * Returns the row after a claim of a shard that has no stored state.
   *
   * @param claimant the new owner
   * @return the row with the epoch incremented
   */
  ShardRow claimedBy(VmIncarnation claimant) {
    return new ShardRow(claimant, epoch + 1, null, List.of());
  }

  /**
   * Returns the row after its owner has written a snapshot.
   *
   * @param ref the snapshot
   * @param fromSeq the first position in the owner's journal that the snapshot does not contain
   * @return the row
   */
  ShardRow withSnapshot(SnapshotRef ref, long fromSeq) {
    return new ShardRow(owner, epoch, ref, List.of(new JournalSource(owner, fromSeq, epoch)));
  }

  /**
   * Returns the row after its owner has released the shard.
   *
   * @param complete whether the snapshot contains all records, so that no journal is needed any
   *     more
   * @return the row without an owner
   */
  ShardRow released(boolean complete) {
    return new ShardRow(null, epoch, snapshot, complete ? List.of() : sources);
  }

  /**
   * Returns whether the rows of an incarnation must be kept for this shard.
   *
   * @param incarnation the incarnation
   * @return whether it owns the shard or its journal is a source
   */
  boolean refersTo(VmIncarnation incarnation) {
    return incarnation.equals(owner)
        || sources.stream().anyMatch(s -> s.incarnation().equals(incarnation));
  }
}

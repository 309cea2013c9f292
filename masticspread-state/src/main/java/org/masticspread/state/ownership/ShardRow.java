package org.masticspread.state.ownership;

import java.util.ArrayList;
import java.util.List;
import org.masticspread.model.id.VmIncarnation;

/**
 * The row of a shard.
 *
 * @param owner the incarnation that owns it; null when it is released
 * @param epoch the epoch, rising with each claim
 * @param snapshot the snapshot that its state starts from; null for an empty state
 * @param sources the journals to apply after the snapshot, in their order
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
   * @param fromSeq the next position of its journal
   * @return the row, with the epoch raised
   */
  ShardRow claimedBy(VmIncarnation claimant, long fromSeq) {
    List<JournalSource> all = new ArrayList<>(sources);
    all.add(new JournalSource(claimant, fromSeq, epoch + 1));
    return new ShardRow(claimant, epoch + 1, snapshot, all);
  }

  /**
   * Returns the row after a claim of a shard without state.
   *
   * @param claimant the new owner
   * @return the row, with the epoch raised
   */
  ShardRow claimedBy(VmIncarnation claimant) {
    return new ShardRow(claimant, epoch + 1, null, List.of());
  }

  /**
   * Returns the row after a snapshot of its owner.
   *
   * @param ref the snapshot
   * @param fromSeq the first position of the owner's journal that is not in it
   * @return the row
   */
  ShardRow withSnapshot(SnapshotRef ref, long fromSeq) {
    return new ShardRow(owner, epoch, ref, List.of(new JournalSource(owner, fromSeq, epoch)));
  }

  /**
   * Returns the row after its owner has released it.
   *
   * @param whole whether the snapshot holds everything, so that no journal is needed any more
   * @return the row without owner
   */
  ShardRow released(boolean whole) {
    return new ShardRow(null, epoch, snapshot, whole ? List.of() : sources);
  }

  /**
   * Tells whether an incarnation must be kept for this shard.
   *
   * @param incarnation the incarnation
   * @return whether it owns the shard or its journal is a source
   */
  boolean refersTo(VmIncarnation incarnation) {
    return incarnation.equals(owner)
        || sources.stream().anyMatch(s -> s.incarnation().equals(incarnation));
  }
}

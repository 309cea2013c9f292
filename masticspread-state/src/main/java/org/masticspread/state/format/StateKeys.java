package org.masticspread.state.format;

import java.util.Locale;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.ShardKind;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;

/**
 * The keys of rows and the names of objects. Numbers are padded to 20 digits, so that keys sort in
 * numerical order.
 */
public final class StateKeys {
  /** The prefix of session rows. */
  public static final String SESSIONS = "session/";

  /** The prefix of shard rows. */
  public static final String SHARDS = "shard/";

  /** The key of the row with the latest configuration revision. */
  public static final String CONFIG_HEAD = "config/head";

  /** The prefix of audit rows. */
  public static final String AUDIT = "audit/";

  private StateKeys() {}

  /**
   * Returns the key of the row with the last incarnation number of a VM.
   *
   * @param vm the VM
   * @return the key
   */
  public static String incarnation(VmId vm) {
    return "incarnation/" + vm;
  }

  /**
   * Returns the key of the session row of an incarnation.
   *
   * @param incarnation the incarnation
   * @return the key
   */
  public static String session(VmIncarnation incarnation) {
    return SESSIONS + path(incarnation);
  }

  /**
   * Returns the key of the fence row of an incarnation.
   *
   * @param incarnation the incarnation
   * @return the key
   */
  public static String fence(VmIncarnation incarnation) {
    return "fence/" + path(incarnation);
  }

  /**
   * Returns the prefix of the journal rows of an incarnation.
   *
   * @param incarnation the incarnation
   * @return the prefix
   */
  public static String journal(VmIncarnation incarnation) {
    return "journal/" + path(incarnation) + "/";
  }

  /**
   * Returns the key of a journal row.
   *
   * @param incarnation the incarnation that writes the journal
   * @param seq the position in the journal, starting at 1
   * @return the key
   */
  public static String journal(VmIncarnation incarnation, long seq) {
    return journal(incarnation) + zeroPadded(seq);
  }

  /**
   * Returns the key of the row of a shard.
   *
   * @param shard the shard
   * @return the key
   */
  public static String shard(ShardId shard) {
    return SHARDS + shard.kind().name().toLowerCase(Locale.ROOT) + "/" + shard.name();
  }

  /**
   * Returns the shard that a row belongs to.
   *
   * @param key the key of a shard row
   * @return the shard
   * @throws IllegalArgumentException if the key is not the key of a shard row
   */
  public static ShardId shardOf(String key) {
    String[] parts = key.substring(SHARDS.length()).split("/", 2);
    return new ShardId(ShardKind.valueOf(parts[0].toUpperCase(Locale.ROOT)), parts[1]);
  }

  /**
   * Returns the key of the row with the snapshot of a shard.
   *
   * @param shard the shard
   * @return the key
   */
  public static String tableSnapshot(ShardId shard) {
    return "snapshot/" + shard;
  }

  /**
   * Returns the prefix of the snapshots of a shard in the object store.
   *
   * @param shard the shard
   * @return the prefix
   */
  public static String snapshots(ShardId shard) {
    return "snapshot/" + shard + "/";
  }

  /**
   * Returns the name of a snapshot in the object store.
   *
   * @param shard the shard
   * @param epoch the epoch of the shard's owner
   * @param seq the first position in the owner's journal that the snapshot does not contain
   * @return the name
   */
  public static String snapshot(ShardId shard, long epoch, long seq) {
    return snapshots(shard) + zeroPadded(epoch) + "-" + zeroPadded(seq);
  }

  /**
   * Returns the key of the row of a configuration revision.
   *
   * @param revision the revision
   * @return the key
   */
  public static String configRevision(long revision) {
    return "config/rev/" + zeroPadded(revision);
  }

  /**
   * Returns the key of the row of an audit entry.
   *
   * @param revision the revision created by the change
   * @return the key
   */
  public static String audit(long revision) {
    return AUDIT + zeroPadded(revision);
  }

  private static String path(VmIncarnation incarnation) {
    return incarnation.vm() + "/" + zeroPadded(incarnation.number());
  }

  private static String zeroPadded(long number) {
    return String.format(Locale.ROOT, "%020d", number);
  }
}

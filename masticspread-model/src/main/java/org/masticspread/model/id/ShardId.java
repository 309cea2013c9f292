package org.masticspread.model.id;

/**
 * Identifies a shard: a work shard by its number, or a rack shard by its rack.
 *
 * @param kind the kind of shard
 * @param name the number of a work shard in decimal, or the name of the rack
 */
public record ShardId(ShardKind kind, String name) implements Comparable<ShardId> {

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is not valid
   */
  public ShardId {
    Names.require("shard", name);
  }

  /**
   * Returns a work shard.
   *
   * @param number the number, from 0
   * @return the shard
   */
  public static ShardId work(int number) {
    return new ShardId(ShardKind.WORK, Integer.toString(number));
  }

  /**
   * Returns the shard of a rack.
   *
   * @param rack the rack
   * @return the shard
   */
  public static ShardId rack(RackId rack) {
    return new ShardId(ShardKind.RACK, rack.value());
  }

  /**
   * Returns the rack of a rack shard.
   *
   * @return the rack
   * @throws IllegalStateException if this is a work shard
   */
  public RackId rackId() {
    if (kind != ShardKind.RACK) {
      throw new IllegalStateException(this + " is not a rack shard");
    }
    return new RackId(name);
  }

  @Override
  public int compareTo(ShardId other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return (kind == ShardKind.WORK ? "work-" : "rack-") + name;
  }

  /**
   * Returns the same value in every run, so that trials with one seed visit the shards in one
   * order.
   */
  @Override
  public int hashCode() {
    return 31 * kind.ordinal() + name.hashCode();
  }
}

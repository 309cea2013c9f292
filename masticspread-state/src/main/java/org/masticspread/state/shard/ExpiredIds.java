package org.masticspread.state.shard;

import java.nio.ByteBuffer;
import java.nio.LongBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.masticspread.model.work.Payload;
import org.masticspread.state.internal.Rendezvous;

/**
 * The 64-bit hashes of the ids of expired records, grouped by the hour of expiry. Not thread-safe.
 */
final class ExpiredIds {
  private final TreeMap<Long, long[]> hashesByHour = new TreeMap<>();

  void add(Instant at, Collection<String> ids) {
    if (ids.isEmpty()) {
      return;
    }
    LongStream added = ids.stream().mapToLong(Rendezvous::hash);
    hashesByHour.merge(hourOf(at), sorted(added), ExpiredIds::merge);
  }

  void dropBefore(Instant at) {
    hashesByHour.headMap(hourOf(at)).clear();
  }

  boolean hasBefore(Instant at) {
    return !hashesByHour.headMap(hourOf(at)).isEmpty();
  }

  boolean contains(String id) {
    long hash = Rendezvous.hash(id);
    return hashesByHour.values().stream().anyMatch(h -> Arrays.binarySearch(h, hash) >= 0);
  }

  List<ShardSnapshot.HashBucket> snapshot() {
    List<ShardSnapshot.HashBucket> buckets = new ArrayList<>();
    for (Map.Entry<Long, long[]> bucket : hashesByHour.entrySet()) {
      ByteBuffer bytes = ByteBuffer.allocate(bucket.getValue().length * Long.BYTES);
      bytes.asLongBuffer().put(bucket.getValue());
      buckets.add(new ShardSnapshot.HashBucket(bucket.getKey(), new Payload(bytes.array())));
    }
    return buckets;
  }

  void restore(List<ShardSnapshot.HashBucket> buckets) {
    for (ShardSnapshot.HashBucket bucket : buckets) {
      LongBuffer in = ByteBuffer.wrap(bucket.hashes().bytes()).asLongBuffer();
      long[] hashes = new long[in.remaining()];
      in.get(hashes);
      hashesByHour.put(bucket.hour(), hashes);
    }
  }

  private static long[] merge(long[] a, long[] b) {
    return sorted(LongStream.concat(Arrays.stream(a), Arrays.stream(b)));
  }

  private static long[] sorted(LongStream hashes) {
    return hashes.sorted().distinct().toArray();
  }

  private static long hourOf(Instant at) {
    return Math.floorDiv(at.getEpochSecond(), Duration.ofHours(1).toSeconds());
  }
}

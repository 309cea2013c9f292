package org.masticspread.policy.request.internal;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A heap of queued entries, ordered by the time at which they expire. */
final class ExpiryHeap {
  private static final int MIN_STALE_ITEMS = 64;

  private final PriorityQueue<Item> items = new PriorityQueue<>(Comparator.comparingLong(Item::at));
  private int staleItems;
  private long examined;

  void add(Entry entry, long at) {
    items.add(new Item(entry, at));
  }

  /** Counts one item as stale; removes all stale items once they outnumber the others. */
  void markStale() {
    staleItems++;
    if (staleItems > MIN_STALE_ITEMS && staleItems > items.size() / 2) {
      examined += items.size();
      items.removeIf(item -> !item.entry().queued);
      staleItems = 0;
    }
  }

  /** Removes and returns an expired entry that is still queued, or null. */
  Entry poll(long now) {
    while (!items.isEmpty() && items.peek().at() <= now) {
      Item item = items.poll();
      if (item.entry().queued) {
        return item.entry();
      }
      staleItems = Math.max(0, staleItems - 1);
    }
    return null;
  }

  /** Returns the total number of items examined by clean-ups. */
  long examined() {
    return examined;
  }

  int size() {
    return items.size();
  }

  private record Item(Entry entry, long at) {}
}

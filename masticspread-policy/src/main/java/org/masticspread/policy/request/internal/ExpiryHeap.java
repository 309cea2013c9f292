package org.masticspread.policy.request.internal;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Queued entries by the time at which they can no longer be answered in time. */
final class ExpiryHeap {
  private static final int LEAST_GARBAGE = 64;

  private final PriorityQueue<Item> items = new PriorityQueue<>(Comparator.comparingLong(Item::at));
  private int garbage;
  private long examined;

  void add(Entry entry, long at) {
    items.add(new Item(entry, at));
  }

  /** Tells that one item is out of use; removes all such items once they are the greater part. */
  void forget() {
    garbage++;
    if (garbage > LEAST_GARBAGE && garbage > items.size() / 2) {
      examined += items.size();
      items.removeIf(item -> !item.entry().queued);
      garbage = 0;
    }
  }

  /** Returns a queued entry that is past its time, or null. */
  Entry poll(long now) {
    while (!items.isEmpty() && items.peek().at() <= now) {
      Item item = items.poll();
      if (item.entry().queued) {
        return item.entry();
      }
      garbage = Math.max(0, garbage - 1);
    }
    return null;
  }

  /** Returns how many items all clean-ups have looked at. */
  long examined() {
    return examined;
  }

  int size() {
    return items.size();
  }

  private record Item(Entry entry, long at) {}
}

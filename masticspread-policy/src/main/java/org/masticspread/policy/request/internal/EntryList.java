package org.masticspread.policy.request.internal;

/** A doubly linked queue with removal of any entry in constant time. */
final class EntryList {
  private Entry first;
  private Entry last;
  private int size;
  private long bytes;

  int size() {
    return size;
  }

  long bytes() {
    return bytes;
  }

  Entry first() {
    return first;
  }

  Entry last() {
    return last;
  }

  void addLast(Entry entry) {
    entry.previous = last;
    entry.next = null;
    if (last == null) {
      first = entry;
    } else {
      last.next = entry;
    }
    last = entry;
    count(entry, 1);
  }

  void addFirst(Entry entry) {
    entry.next = first;
    entry.previous = null;
    if (first == null) {
      last = entry;
    } else {
      first.previous = entry;
    }
    first = entry;
    count(entry, 1);
  }

  void remove(Entry entry) {
    if (entry.previous == null) {
      first = entry.next;
    } else {
      entry.previous.next = entry.next;
    }
    if (entry.next == null) {
      last = entry.previous;
    } else {
      entry.next.previous = entry.previous;
    }
    entry.previous = null;
    entry.next = null;
    count(entry, -1);
  }

  private void count(Entry entry, int sign) {
    entry.queued = sign > 0;
    size += sign;
    bytes += (long) sign * entry.sizeBytes();
  }
}

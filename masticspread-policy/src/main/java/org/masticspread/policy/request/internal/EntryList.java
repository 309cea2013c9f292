package org.masticspread.policy.request.internal;

/** A linked queue whose entries can be removed from any place in constant time. */
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
    entry.before = last;
    entry.after = null;
    if (last == null) {
      first = entry;
    } else {
      last.after = entry;
    }
    last = entry;
    count(entry, 1);
  }

  void addFirst(Entry entry) {
    entry.after = first;
    entry.before = null;
    if (first == null) {
      last = entry;
    } else {
      first.before = entry;
    }
    first = entry;
    count(entry, 1);
  }

  void remove(Entry entry) {
    if (entry.before == null) {
      first = entry.after;
    } else {
      entry.before.after = entry.after;
    }
    if (entry.after == null) {
      last = entry.before;
    } else {
      entry.after.before = entry.before;
    }
    entry.before = null;
    entry.after = null;
    count(entry, -1);
  }

  private void count(Entry entry, int sign) {
    entry.queued = sign > 0;
    size += sign;
    bytes += (long) sign * entry.sizeBytes();
  }
}

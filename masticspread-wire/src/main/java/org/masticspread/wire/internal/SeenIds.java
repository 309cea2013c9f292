package org.masticspread.wire.internal;

import java.util.BitSet;

/** Remembers the latest ids of a connection, to find one that comes twice. Not thread-safe. */
final class SeenIds {
  private static final int WINDOW = 8192;

  private final BitSet seen = new BitSet(WINDOW);
  private long highest;

  /** Adds an id; returns false if it came before or is too old to tell. */
  boolean add(long id) {
    if (id <= 0 || id <= highest - WINDOW) {
      return false;
    }
    for (long next = Math.max(highest + 1, id - WINDOW + 1); next <= id; next++) {
      seen.clear((int) (next % WINDOW));
    }
    highest = Math.max(highest, id);
    int slot = (int) (id % WINDOW);
    boolean fresh = !seen.get(slot);
    seen.set(slot);
    return fresh;
  }
}

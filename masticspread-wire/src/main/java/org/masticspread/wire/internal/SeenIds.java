package org.masticspread.wire.internal;

import java.util.BitSet;

/**
 * Detects duplicate call ids on a connection within a sliding window of the latest ids. Not
 * thread-safe.
 */
final class SeenIds {
  private static final int WINDOW = 8192;

  private final BitSet seen = new BitSet(WINDOW);
  private long highest;

  /** Adds an id. Returns false if the id was added before or is too old for the window. */
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

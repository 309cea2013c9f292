package org.masticspread.state.journal;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/** A record on its way into the journal. Compared by identity. */
final class PendingAppend {
  private final JournalEntry entry;
  private final Instant holdUntil;
  private final int sizeBytes;
  private final CompletableFuture<Void> result = new CompletableFuture<>();

  PendingAppend(JournalEntry entry, Instant holdUntil, int sizeBytes) {
    this.entry = entry;
    this.holdUntil = holdUntil;
    this.sizeBytes = sizeBytes;
  }

  JournalEntry entry() {
    return entry;
  }

  int sizeBytes() {
    return sizeBytes;
  }

  boolean isExpired(Instant now) {
    return !holdUntil.isAfter(now);
  }

  CompletableFuture<Void> result() {
    return result;
  }
}

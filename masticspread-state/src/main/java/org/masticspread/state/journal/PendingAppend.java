package org.masticspread.state.journal;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/** A record that is queued or part of a commit attempt. Compared by identity. */
final class PendingAppend {
  private final JournalEntry entry;
  private final Instant writeDeadline;
  private final int sizeBytes;
  private final CompletableFuture<Void> result = new CompletableFuture<>();

  PendingAppend(JournalEntry entry, Instant writeDeadline, int sizeBytes) {
    this.entry = entry;
    this.writeDeadline = writeDeadline;
    this.sizeBytes = sizeBytes;
  }

  JournalEntry entry() {
    return entry;
  }

  int sizeBytes() {
    return sizeBytes;
  }

  boolean isExpired(Instant now) {
    return !writeDeadline.isAfter(now);
  }

  CompletableFuture<Void> result() {
    return result;
  }
}

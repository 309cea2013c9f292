package org.masticspread.state.journal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.masticspread.model.platform.Row;
import org.masticspread.model.work.Payload;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.format.RecordFormatException.Problem;

/**
 * The commit attempts for one journal row whose answers were lost. At most one of them can take
 * effect, because each is conditional on the absence of the row. Guarded by the flush lock.
 */
final class RowInDoubt {
  /**
   * A commit attempt.
   *
   * @param content the bytes of the row
   * @param appends the records in the row
   */
  record Attempt(Payload content, List<PendingAppend> appends) {}

  private static final int MAX_ATTEMPTS = 16;

  private final List<Attempt> attempts = new ArrayList<>();

  void add(Attempt attempt) {
    if (attempts.stream().noneMatch(a -> a.content().equals(attempt.content()))) {
      attempts.add(attempt);
    }
  }

  boolean isEmpty() {
    return attempts.isEmpty();
  }

  void clear() {
    attempts.clear();
  }

  /** Returns the records of all attempts in the order of their first attempt. */
  Set<PendingAppend> appends() {
    Set<PendingAppend> appends = new LinkedHashSet<>();
    attempts.forEach(attempt -> appends.addAll(attempt.appends()));
    return appends;
  }

  /**
   * Returns the records for the next attempt: those whose write deadline has not passed. After
   * {@link #MAX_ATTEMPTS} attempts the last one is repeated unchanged, to bound the memory used.
   */
  List<PendingAppend> nextGroup(Instant now) {
    if (attempts.size() >= MAX_ATTEMPTS) {
      return attempts.get(attempts.size() - 1).appends();
    }
    return appends().stream().filter(append -> !append.isExpired(now)).toList();
  }

  /** Returns the attempt that wrote a row. */
  Attempt winner(Row row) throws RecordFormatException {
    for (Attempt attempt : attempts) {
      if (attempt.content().equals(row.value())) {
        return attempt;
      }
    }
    throw new RecordFormatException(
        row.key(), Problem.FOREIGN, "the row was not written by this process");
  }
}

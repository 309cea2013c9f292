package org.masticspread.cell.lead;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.port.CommitResult;
import org.masticspread.cell.port.TableCommit;
import org.masticspread.cell.port.TableCommit.Put;
import org.masticspread.cell.port.TablePort;
import org.masticspread.cell.port.Timers;

/**
 * Checks with a write whether this VM reaches the store. A read would not prove it: the store may
 * answer reads while it loses writes or is slow to carry them out.
 */
final class StoreCheck {
  /** Longer than a call to the store takes for a VM with a good connection to it. */
  static final Duration TIMEOUT = Duration.ofMillis(200);

  private static final byte[] VALUE = {1};

  /** The outcome of a check. */
  enum Outcome {
    /** The store answered before the timeout. */
    REACHED,
    /** The store refused the write. */
    REFUSED,
    /** No answer came before the timeout. */
    UNANSWERED
  }

  private final TablePort store;
  private final Timers timers;

  StoreCheck(TablePort store, Timers timers) {
    this.store = store;
    this.timers = timers;
  }

  /** Writes a row and reports the outcome once, after {@link #TIMEOUT} at the latest. */
  void run(Consumer<Outcome> then) {
    run(TIMEOUT, then);
  }

  /**
   * Writes a row and reports the outcome once.
   *
   * @param timeout how long to wait for an answer
   * @param then receives the outcome
   */
  void run(Duration timeout, Consumer<Outcome> then) {
    boolean[] reported = {false};
    Consumer<Outcome> once =
        outcome -> {
          if (!reported[0]) {
            reported[0] = true;
            then.accept(outcome);
          }
        };
    timers.after(timeout, () -> once.accept(Outcome.UNANSWERED));
    TableCommit commit =
        new TableCommit(Rows.CHECK_PART, List.of(), List.of(new Put(Rows.CHECK, VALUE)), List.of());
    var unused = store.commit(commit).subscribe(result -> once.accept(outcome(result)));
  }

  private static Outcome outcome(CommitResult result) {
    return switch (result.kind()) {
      case DONE, CONFLICT -> Outcome.REACHED;
      case REFUSED -> Outcome.REFUSED;
      case UNKNOWN -> Outcome.UNANSWERED;
    };
  }
}

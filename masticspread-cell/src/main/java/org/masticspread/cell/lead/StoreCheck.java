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
 * Finds out by a write whether this VM reaches the store. A read is no proof: the store may answer
 * reads while it loses writes or takes long for them.
 */
final class StoreCheck {
  /** How long a call to the store takes at most for a VM that reaches it well. */
  static final Duration IN_TIME = Duration.ofMillis(200);

  private static final byte[] VALUE = {1};

  /** What became of a check. */
  enum Outcome {
    /** The store answered in time. */
    REACHED,
    /** The store refused the write. */
    REFUSED,
    /** No answer came in time. */
    UNANSWERED
  }

  private final TablePort store;
  private final Timers timers;

  StoreCheck(TablePort store, Timers timers) {
    this.store = store;
    this.timers = timers;
  }

  /** Writes, and tells the outcome once, after {@link #IN_TIME} at the latest. */
  void write(Consumer<Outcome> then) {
    write(IN_TIME, then);
  }

  /**
   * Writes, and tells the outcome once.
   *
   * @param inTime how long an answer is waited for
   * @param then gets the outcome
   */
  void write(Duration inTime, Consumer<Outcome> then) {
    boolean[] told = {false};
    Consumer<Outcome> once =
        outcome -> {
          if (!told[0]) {
            told[0] = true;
            then.accept(outcome);
          }
        };
    timers.after(inTime, () -> once.accept(Outcome.UNANSWERED));
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

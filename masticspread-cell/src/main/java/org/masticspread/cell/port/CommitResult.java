package org.masticspread.cell.port;

import java.util.List;

/**
 * The outcome of a transaction.
 *
 * @param kind what became of it
 * @param version the version of the transaction, when it was done; else 0
 * @param current the rows of the conditions as they are, when one did not hold; else empty
 */
public record CommitResult(Kind kind, long version, List<TableRow> current) {
  /** Copies the list. */
  public CommitResult {
    current = List.copyOf(current);
  }

  /** What became of a transaction. */
  public enum Kind {
    /** All of it took effect. */
    DONE,
    /** A condition did not hold; nothing took effect. */
    CONFLICT,
    /** The store refused it; nothing took effect. */
    REFUSED,
    /** No answer came; it may take effect, also later. */
    UNKNOWN
  }

  /**
   * Returns an outcome without further facts.
   *
   * @param kind the kind
   * @return the outcome
   */
  public static CommitResult of(Kind kind) {
    return new CommitResult(kind, 0, List.of());
  }
}

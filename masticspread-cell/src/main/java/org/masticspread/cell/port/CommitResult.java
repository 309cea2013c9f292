package org.masticspread.cell.port;

import java.util.List;

/**
 * The result of a transaction.
 *
 * @param kind the kind of result
 * @param version the version of the transaction if it was committed; else 0
 * @param current the current rows of the conditions if one did not hold; else empty
 */
public record CommitResult(Kind kind, long version, List<TableRow> current) {
  /** Copies the list. */
  public CommitResult {
    current = List.copyOf(current);
  }

  /** The kind of result. */
  public enum Kind {
    /** The transaction was committed. */
    DONE,
    /** A condition did not hold; nothing took effect. */
    CONFLICT,
    /** The store refused the transaction; nothing took effect. */
    REFUSED,
    /** No answer arrived; the transaction may take effect, even later. */
    UNKNOWN
  }

  /**
   * Returns a result without version and rows.
   *
   * @param kind the kind of result
   * @return the result
   */
  public static CommitResult of(Kind kind) {
    return new CommitResult(kind, 0, List.of());
  }
}

package org.masticspread.state.format;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/**
 * A stored record can't be read. Such a record is never skipped; the message contains the key of
 * its row or the name of its object.
 */
public final class RecordFormatException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  /** The kinds of problems with a record. */
  public enum Problem {
    /** The record is truncated or its checksum does not match. */
    TORN,
    /** The record is of another kind, has another owner or was written by another program. */
    FOREIGN,
    /** The record was written by a newer release. */
    NEWER_VERSION,
    /** A required record is absent. */
    MISSING
  }

  private final String name;
  private final Problem problem;

  /**
   * Creates an exception.
   *
   * @param name the key of the row or the name of the object
   * @param problem the kind of problem
   * @param detail the detail as a short sentence
   */
  public RecordFormatException(String name, Problem problem, String detail) {
    super(ResultCode.INTERNAL_ERROR, name + ": " + problem + ": " + detail);
    this.name = name;
    this.problem = problem;
  }

  /**
   * Returns the key of the row or the name of the object.
   *
   * @return the name
   */
  public String name() {
    return name;
  }

  /**
   * Returns the kind of problem.
   *
   * @return the problem
   */
  public Problem problem() {
    return problem;
  }
}

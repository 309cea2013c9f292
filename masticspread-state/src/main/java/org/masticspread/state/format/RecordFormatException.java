package org.masticspread.state.format;

import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** A stored record that can't be read. It is never skipped: the error names the row or object. */
public final class RecordFormatException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  /** What is wrong with a record. */
  public enum Problem {
    /** The record is cut or its checksum does not match. */
    TORN,
    /** The record is of another kind, another owner or another program. */
    FOREIGN,
    /** The record was written by a newer release. */
    NEWER_VERSION,
    /** A record that must be there is absent. */
    MISSING
  }

  private final String name;
  private final Problem problem;

  /**
   * Creates an error.
   *
   * @param name the key of the row or the name of the object
   * @param problem what is wrong
   * @param detail a short sentence
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
   * Tells what is wrong.
   *
   * @return the problem
   */
  public Problem problem() {
    return problem;
  }
}

package org.masticspread.ctl.command;

import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;

/** The exit codes of masticctl, stable across releases. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0, "done"),
  /** An internal error of masticctl itself. */
  INTERNAL(1, "a fault in masticctl itself"),
  /** A flag or its environment variable is invalid or missing; nothing was sent. */
  USAGE(2, "a flag or its environment variable is bad or missing; nothing was sent"),
  /** The input was refused; nothing was done. */
  INVALID(3, "the input is refused: a wrong field, size, deadline, quota or a used id"),
  /** The token is missing, unknown or lacks the permission. */
  NOT_ALLOWED(4, "the token is missing, unknown or does not allow this"),
  /** The named object does not exist. */
  NOT_FOUND(5, "there is nothing of that name"),
  /** A concurrent change of the configuration came first. */
  CONFLICT(6, "another change of the configuration came first; nothing of this one was made"),
  /** No node could be reached. */
  UNREACHABLE(7, "no node could be reached; nothing was sent"),
  /** The work did not run and may be sent again. */
  NOT_RUN(8, "the work did not run; it may be sent again"),
  /** The work ran and failed. */
  FAILED(9, "the work ran and failed"),
  /** The work or change may or may not have been done. */
  UNKNOWN(10, "the work or change may or may not have been done; the answer was lost or unclear"),
  /** A comparison found differences. */
  DIFFERENT(11, "a comparison found differences");

  private final int number;
  private final String meaning;

  ExitCode(int number, String meaning) {
    this.number = number;
    this.meaning = meaning;
  }

  /**
   * Returns the number that the process exits with.
   *
   * @return the number
   */
  public int number() {
    return number;
  }

  /**
   * Returns the meaning as a short text.
   *
   * @return the meaning
   */
  public String meaning() {
    return meaning;
  }

  /**
   * Returns the exit code of a result.
   *
   * @param code the result code
   * @return the exit code
   */
  public static ExitCode of(ResultCode code) {
    return switch (code) {
      case OK, ACCEPTED, ALREADY_ACCEPTED, CANCELLED -> OK;
      case UNAUTHORIZED, FORBIDDEN -> NOT_ALLOWED;
      case NOT_FOUND -> NOT_FOUND;
      case CONFLICT -> CONFLICT;
      case CONNECT_FAILED -> UNREACHABLE;
      default -> byRunState(code);
    };
  }

  private static ExitCode byRunState(ResultCode code) {
    if (code.runState() == RunState.UNKNOWN) {
      return UNKNOWN;
    }
    if (code.runState() == RunState.RAN) {
      return FAILED;
    }
    return code.isRetryable() ? NOT_RUN : INVALID;
  }
}

package org.masticspread.ctl.client;

import java.util.List;

/**
 * The result of validating a configuration.
 *
 * @param problems the problems; empty if the configuration is valid
 */
public record Problems(List<Problem> problems) {

  /** Copies the list; a missing list counts as empty. */
  public Problems {
    problems = problems == null ? List.of() : List.copyOf(problems);
  }

  /**
   * An invalid field.
   *
   * @param field the path of the field
   * @param message what is wrong and which values are allowed
   */
  public record Problem(String field, String message) {}
}

package org.masticspread.ctl.client;

import java.util.List;

/**
 * What is wrong with a configuration.
 *
 * @param problems the problems; empty when it is valid
 */
public record Problems(List<Problem> problems) {

  /** Copies the list; a missing list counts as empty. */
  public Problems {
    problems = problems == null ? List.of() : List.copyOf(problems);
  }

  /**
   * One wrong field.
   *
   * @param field the path of the field
   * @param message what is wrong and what is allowed
   */
  public record Problem(String field, String message) {}
}

package org.masticspread.ctl.questionnaire;

/**
 * A question of the questionnaire.
 *
 * @param field the field of the answers file that holds the answer, such as {@code work[0].rate}
 * @param text the question in plain words
 * @param allowed the allowed answers, in words
 * @param rejection why the previous answer was rejected; empty when the question is asked for the
 *     first time
 */
public record Question(String field, String text, String allowed, String rejection) {

  /**
   * Returns whether this question only asks if another kind of work follows. The answers file has
   * no field for such a question.
   *
   * @return true if it asks whether another kind of work follows
   */
  public boolean asksForMore() {
    return field.endsWith("]");
  }
}

package org.masticspread.ctl.questionnaire;

/**
 * One question.
 *
 * @param field the field of the answers file that holds the answer, such as {@code work[0].rate}
 * @param text the question in plain words
 * @param allowed what is allowed
 * @param rejection why the answer given before was wrong; empty when the question is asked first
 */
public record Question(String field, String text, String allowed, String rejection) {

  /**
   * Tells whether this question only asks if one more kind of work follows; the answers file then
   * has no field for it.
   *
   * @return whether it asks for more
   */
  public boolean asksForMore() {
    return field.endsWith("]");
  }
}

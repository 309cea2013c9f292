package org.masticspread.ctl.questionnaire;

import org.masticspread.model.result.MasticspreadException;

/** Gives the answer to one question after the other. */
@FunctionalInterface
public interface AnswerSource {
  /**
   * Returns the answer to a question.
   *
   * @param question the question
   * @return the answer as text
   * @throws MasticspreadException if there is no answer to be had
   */
  String next(Question question) throws MasticspreadException;
}

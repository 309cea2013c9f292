package org.masticspread.ctl.questionnaire;

import org.masticspread.model.result.MasticspreadException;

/** Supplies the answers to the questions of an {@link Interview}. */
@FunctionalInterface
public interface AnswerSource {
  /**
   * Returns the answer to a question.
   *
   * @param question the question
   * @return the answer as text
   * @throws MasticspreadException if no answer is available
   */
  String next(Question question) throws MasticspreadException;
}

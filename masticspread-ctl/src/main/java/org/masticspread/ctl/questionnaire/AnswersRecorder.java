package org.masticspread.ctl.questionnaire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.masticspread.codec.Mappers;
import org.masticspread.model.result.MasticspreadException;

/**
 * An answer source that forwards each question to another source and records the answers, so that
 * they can be written as an answers file.
 *
 * <p>Not thread-safe.
 */
public final class AnswersRecorder implements AnswerSource {
  private static final String WORK = "work";

  private final AnswerSource source;
  private final ObjectNode answers = Mappers.yaml().createObjectNode();

  /**
   * Creates a recorder.
   *
   * @param source the source of the answers
   */
  public AnswersRecorder(AnswerSource source) {
    this.source = source;
  }

  @Override
  public String next(Question question) throws MasticspreadException {
    String answer = source.next(question);
    if (!question.asksForMore()) {
      record(question.field(), answer.strip());
    }
    return answer;
  }

  /**
   * Returns a copy of the answers recorded so far, in the form of an answers file.
   *
   * @return the answers
   */
  public ObjectNode answers() {
    return answers.deepCopy();
  }

  private void record(String field, String answer) {
    int dot = field.indexOf('.');
    if (dot < 0) {
      answers.put(field, answer);
      return;
    }
    int index = Integer.parseInt(field.substring(WORK.length() + 1, dot - 1));
    ArrayNode work = answers.withArray("/" + WORK);
    while (work.size() <= index) {
      work.addObject();
    }
    ((ObjectNode) work.get(index)).put(field.substring(dot + 1), answer);
  }
}

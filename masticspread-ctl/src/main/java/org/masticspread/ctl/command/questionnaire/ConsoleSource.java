package org.masticspread.ctl.command.questionnaire;

import java.io.IOException;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.ctl.questionnaire.AnswerSource;
import org.masticspread.ctl.questionnaire.Question;

/** An answer source that asks on the console and prints the questions to standard error. */
final class ConsoleSource implements AnswerSource {
  private final CtlContext context;

  ConsoleSource(CtlContext context) {
    this.context = context;
  }

  @Override
  public String next(Question question) throws UsageException {
    if (question.rejection().isEmpty()) {
      context.err().println(question.text() + " (" + question.allowed() + ")");
    } else {
      context.err().println(question.rejection() + ". " + question.text());
    }
    context.err().print("> ");
    context.err().flush();
    String line = readLine();
    if (line == null) {
      throw new UsageException(question.field(), "", question.allowed() + "; the input has ended");
    }
    return line;
  }

  private String readLine() {
    try {
      return context.in().readLine();
    } catch (IOException e) {
      return null;
    }
  }
}

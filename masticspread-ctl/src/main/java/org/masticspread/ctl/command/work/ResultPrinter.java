package org.masticspread.ctl.command.work;

import org.masticspread.ctl.client.Result;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;

/** Prints the result of a request or a job. */
final class ResultPrinter {
  private ResultPrinter() {}

  static ExitCode print(CtlContext context, JsonFlag json, Result result) {
    json.print(context, result, () -> printText(context, result));
    return ExitCode.of(result.resultCode());
  }

  private static void printText(CtlContext context, Result result) {
    if (result.body() != null) {
      context.out().println(result.body());
    }
    String subject = result.id() == null ? "" : result.team() + "/" + result.id() + ": ";
    context
        .err()
        .println(subject + result.code() + " " + result.name() + ", " + runStateText(result));
    if (result.field() != null) {
      context.err().println("wrong field: " + result.field());
    }
    if (result.detail() != null && !result.detail().isEmpty()) {
      context.err().println(result.detail());
    }
  }

  private static String runStateText(Result result) {
    return switch (result.resultCode()) {
      case ACCEPTED, ALREADY_ACCEPTED -> "will run";
      default ->
          switch (result.resultCode().runState()) {
            case RAN -> "ran";
            case NOT_RUN -> "not run";
            case UNKNOWN -> "may have run";
          };
    };
  }
}

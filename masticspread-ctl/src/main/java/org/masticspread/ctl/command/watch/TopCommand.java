package org.masticspread.ctl.command.watch;

import java.io.PrintWriter;
import java.time.Duration;
import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.client.NodeStatus;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Shows the state of the cell repeatedly, as a live table. */
@Command(
    name = "top",
    description = "Show the state of the cell as a live table; end it with Ctrl-C.")
public final class TopCommand extends CtlCommand {
  private static final String CLEAR_SCREEN = "\u001b[H\u001b[2J";
  private static final Duration MIN_INTERVAL = Duration.ofMillis(100);
  private static final Duration MAX_INTERVAL = Duration.ofHours(1);

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  @Option(names = "--once", description = "Print one table and end.")
  private boolean once;

  @Option(
      names = "--interval",
      defaultValue = "2s",
      paramLabel = "TIME",
      description = "The time between two tables; default 2s.")
  private Duration interval;

  @Option(
      names = "--count",
      paramLabel = "N",
      description = "The number of tables, from 1; without end when it is missing.")
  private Integer count;

  TopCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException, InterruptedException {
    Flags.requireBetween("--interval", interval, MIN_INTERVAL, MAX_INTERVAL);
    Flags.requireBetween("--count", count, 1, Integer.MAX_VALUE);
    ApiClient client = node.client();
    if (once) {
      show(client.status());
      return ExitCode.OK;
    }
    for (int shown = 0; count == null || shown < count; shown++) {
      if (shown > 0) {
        context().pause().sleep(interval);
      }
      refresh(client);
    }
    return ExitCode.OK;
  }

  /** Prints an error and continues if no node answers, so that the table recovers by itself. */
  private void refresh(ApiClient client) {
    PrintWriter out = context().out();
    if (!json.isJson()) {
      out.print(CLEAR_SCREEN);
    }
    try {
      show(client.status());
    } catch (MasticspreadException e) {
      out.println(context().clock().instant() + " " + e.getMessage());
    }
    out.flush();
  }

  private void show(NodeStatus status) {
    json.print(context(), status, () -> StatusPrinter.print(context().out(), status));
  }
}

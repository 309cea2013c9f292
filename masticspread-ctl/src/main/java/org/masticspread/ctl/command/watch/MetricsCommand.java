package org.masticspread.ctl.command.watch;

import java.util.TreeMap;
import java.util.stream.Collectors;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Shows the metrics of a node. */
@Command(name = "metrics", description = "Show the metrics of the first node that answers.")
public final class MetricsCommand extends CtlCommand {
  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  MetricsCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    String text = node.client().metrics();
    json.print(context(), values(text), () -> context().out().print(text));
    return ExitCode.OK;
  }

  private static TreeMap<String, Double> values(String text) {
    return text.lines()
        .filter(l -> !l.isEmpty() && !l.startsWith("#"))
        .map(l -> l.split(" ", 2))
        .collect(Collectors.toMap(p -> p[0], p -> Double.valueOf(p[1]), (a, b) -> b, TreeMap::new));
  }
}

package org.masticspread.ctl.command.config;

import java.nio.file.Path;
import java.util.List;
import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.ctl.config.ConfigComparison;
import org.masticspread.ctl.config.ConfigComparison.Change;
import org.masticspread.ctl.config.ConfigFile;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
    name = "diff",
    description = {
      "Show what a file would change, or the difference of two revisions.",
      "Ends with 11 when there is a difference."
    })
final class ConfigDiffCommand extends CtlCommand {
  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  @Parameters(arity = "0..1", paramLabel = "FILE", description = "The YAML file.")
  private Path file;

  @Option(
      names = "--merge",
      description = "Keep the entries in force that the file does not name, in place of dropping.")
  private boolean merge;

  @Option(names = "--from", paramLabel = "N", description = "The revision before.")
  private Long from;

  @Option(names = "--to", paramLabel = "N", description = "The revision after; that in force.")
  private Long to;

  ConfigDiffCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    Flags.requireBetween("--from", from, 0, Long.MAX_VALUE);
    Flags.requireBetween("--to", to, 0, Long.MAX_VALUE);
    if ((file == null) == (from == null)) {
      throw new UsageException("--from", "", "a revision, or FILE in its place, and not both");
    }
    ConfigFile content = file == null ? null : ConfigFile.read(file);
    List<Change> changes = changes(node.client(), content);
    json.print(context(), changes, () -> print(changes));
    return changes.isEmpty() ? ExitCode.OK : ExitCode.DIFFERENT;
  }

  private List<Change> changes(ApiClient client, ConfigFile content) throws MasticspreadException {
    if (content == null) {
      Configuration after = to == null ? client.configuration() : client.configuration(to);
      return ConfigComparison.changes(client.configuration(from), after);
    }
    Configuration inForce = client.configuration();
    Configuration after = merge ? content.mergedInto(inForce) : content.configuration();
    return ConfigComparison.changes(inForce, after);
  }

  private void print(List<Change> changes) {
    if (changes.isEmpty()) {
      context().out().println("no difference");
    }
    changes.forEach(c -> context().out().println(c));
  }
}

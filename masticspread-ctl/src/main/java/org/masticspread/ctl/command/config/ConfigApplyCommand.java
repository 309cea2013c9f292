package org.masticspread.ctl.command.config;

import java.util.List;
import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.client.ConfigChange;
import org.masticspread.ctl.client.Problems;
import org.masticspread.ctl.command.ConfigEditor;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.config.ConfigComparison;
import org.masticspread.ctl.config.ConfigComparison.Change;
import org.masticspread.ctl.config.ConfigFile;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(
    name = "apply",
    description = {
      "Apply a file, whole or not at all.",
      "A change made since the expected revision stops it and is shown."
    })
final class ConfigApplyCommand extends CtlCommand {
  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;
  @Mixin private FileFlags file;

  @Option(
      names = "--expect-revision",
      paramLabel = "N",
      description =
          "The revision that the file was made from; when it is missing, that in the file, or else"
              + " the one in force.")
  private Long expected;

  @Option(
      names = "--what",
      paramLabel = "TEXT",
      description = "The change in a short sentence, for the audit trail.")
  private String what;

  ConfigApplyCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    Flags.requireBetween("--expect-revision", expected, 0, Long.MAX_VALUE);
    ConfigFile content = file.read();
    ApiClient client = node.client();
    Configuration inForce = client.configuration();
    Configuration after = file.applyTo(content, inForce);
    Problems problems = client.validate(after);
    if (!problems.problems().isEmpty()) {
      ProblemPrinter.print(context().err(), problems);
      return ExitCode.INVALID;
    }
    List<Change> changes = ConfigComparison.changes(inForce, after);
    if (changes.isEmpty()) {
      return ConfigEditor.print(
          context(), json, new ConfigEditor.AppliedChange(inForce.revision(), "nothing to change"));
    }
    changes.forEach(c -> context().err().println(c));
    String description = what == null ? file.name() + " applied" : what;
    long revision =
        client.change(new ConfigChange(expectedRevision(content, inForce), description, after));
    return ConfigEditor.print(
        context(), json, new ConfigEditor.AppliedChange(revision, description));
  }

  private long expectedRevision(ConfigFile content, Configuration inForce) {
    if (expected != null) {
      return expected;
    }
    Long fileRevision = content.revision();
    return fileRevision == null || fileRevision == 0 ? inForce.revision() : fileRevision;
  }
}

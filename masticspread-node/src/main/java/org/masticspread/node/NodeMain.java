package org.masticspread.node;

import java.util.concurrent.Callable;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.node.launch.NodeProcess;
import org.masticspread.node.settings.NodeOptions;
import org.masticspread.node.settings.NodeSettings;
import org.masticspread.node.settings.SettingsValidator;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Entry point of {@code masticspread-node}. */
@Command(
    name = "masticspread-node",
    mixinStandardHelpOptions = true,
    version = "masticspread-node 0.1.0",
    description = "The process that runs on every entry VM.",
    footer = {
      "",
      "Exit codes: 0 stopped gracefully, 1 internal error, 2 invalid setting (no port was opened),",
      "3 stopped with work left, as listed in the log."
    })
public final class NodeMain implements Callable<Integer> {
  private static final int EXIT_INVALID_SETTING = 2;
  private static final String LOG_FORMAT_PROPERTY = "masticspread.log.format";

  @Mixin private NodeOptions options;

  @Spec private CommandSpec spec;

  private NodeMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    int code = new CommandLine(new NodeMain()).execute(args);
    Runtime.getRuntime().halt(code);
  }

  @Override
  public Integer call() throws Exception {
    try {
      NodeSettings settings = SettingsValidator.of(options).toSettings();
      System.setProperty(LOG_FORMAT_PROPERTY, settings.jsonLogs() ? "json" : "text");
      System.setProperty(
          "flogger.backend_factory",
          "com.google.common.flogger.backend.slf4j.Slf4jBackendFactory#getInstance");
      return NodeProcess.run(settings);
    } catch (MasticspreadException e) {
      spec.commandLine().getErr().println("masticspread-node: " + e.getMessage());
      return EXIT_INVALID_SETTING;
    }
  }
}

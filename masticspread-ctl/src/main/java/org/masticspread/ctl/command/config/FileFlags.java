package org.masticspread.ctl.command.config;

import java.nio.file.Path;
import org.masticspread.ctl.config.ConfigFile;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The flags that name a configuration file and select whether it is merged. */
final class FileFlags {
  @Parameters(paramLabel = "FILE", description = "The YAML file.")
  private Path file;

  @Option(
      names = "--merge",
      description = "Keep the entries in force that the file does not name, in place of dropping.")
  private boolean merge;

  ConfigFile read() throws MasticspreadException {
    return ConfigFile.read(file);
  }

  Configuration applyTo(ConfigFile content, Configuration inForce) {
    Configuration result = merge ? content.mergedInto(inForce) : content.configuration();
    return result.withRevision(inForce.revision());
  }

  String name() {
    return file.getFileName().toString();
  }
}

package org.masticspread.ctl.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.masticspread.codec.InputReader;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.MasticspreadException;

/**
 * The content of a YAML configuration file; a missing section counts as empty.
 *
 * <p>Example: {@code ConfigFile.read(Path.of("cell.yaml")).mergedInto(inForce)}.
 *
 * @param revision the revision that the file is based on; null or 0 if unknown
 * @param pools the pools
 * @param teams the teams
 * @param workClasses the work classes
 * @param endpoints the endpoints
 * @param workers the workers
 */
public record ConfigFile(
    Long revision,
    List<PoolConfig> pools,
    List<TeamConfig> teams,
    List<WorkClassConfig> workClasses,
    List<EndpointConfig> endpoints,
    List<WorkerConfig> workers) {
  private static final long MAX_FILE_BYTES = 64L << 20;

  /**
   * Reads a configuration file.
   *
   * @param file the file
   * @return its content
   * @throws MasticspreadException if it can't be read or a field is invalid; the error names the
   *     file and the field
   */
  public static ConfigFile read(Path file) throws MasticspreadException {
    byte[] bytes = bytes(file);
    try {
      return InputReader.yaml().read(bytes, ConfigFile.class);
    } catch (InvalidFieldException e) {
      throw new MasticspreadException(e.code(), file + ": " + e.getMessage(), e);
    }
  }

  /**
   * Reads the bytes of a file of at most 64 MiB.
   *
   * @param file the file
   * @return its bytes
   * @throws InvalidFieldException if it can't be read or is too large
   */
  public static byte[] bytes(Path file) throws InvalidFieldException {
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new InvalidFieldException("file", file.toString(), "at most 64 MiB");
      }
      return Files.readAllBytes(file);
    } catch (IOException e) {
      throw new InvalidFieldException("file", file.toString(), "a readable file");
    }
  }

  /**
   * Returns the content of the file as a complete configuration.
   *
   * @return the configuration, with revision 0 if the file has none
   */
  public Configuration configuration() {
    long known = revision == null ? 0 : revision;
    return new Configuration(known, pools, teams, workClasses, endpoints, workers);
  }

  /**
   * Returns a configuration with the entries of this file added; an entry of the same name is
   * replaced and all others are kept.
   *
   * @param other the configuration to merge into
   * @return the merged configuration
   */
  public Configuration mergedInto(Configuration other) {
    Configuration merged = other;
    for (EntityKind<?> kind : EntityKinds.ALL) {
      merged = kind.putAll(merged, configuration());
    }
    return merged;
  }
}

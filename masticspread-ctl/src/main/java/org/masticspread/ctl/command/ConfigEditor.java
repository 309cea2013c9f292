package org.masticspread.ctl.command;

import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.client.ConfigChange;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;

/**
 * Reads the configuration, changes it and writes it back under the revision that was read.
 *
 * <p>A change that came first is an error; nothing is tried again.
 */
public final class ConfigEditor {
  private ConfigEditor() {}

  /** Changes a configuration. */
  @FunctionalInterface
  public interface Edit {
    /**
     * Returns the configuration after the change.
     *
     * @param before the configuration before
     * @return the configuration after
     * @throws MasticspreadException if the change can't be made
     */
    Configuration apply(Configuration before) throws MasticspreadException;
  }

  /**
   * A change that was made.
   *
   * @param revision the revision that it made
   * @param what the change in a short sentence
   */
  public record Made(long revision, String what) {}

  /**
   * Makes a change; one that changes nothing is not sent.
   *
   * @param client calls the nodes
   * @param what the change in a short sentence
   * @param edit the change
   * @return the change that was made
   * @throws MasticspreadException if the change can't be made or another one came first
   */
  public static Made edit(ApiClient client, String what, Edit edit) throws MasticspreadException {
    Configuration before = client.configuration();
    Configuration after = edit.apply(before);
    if (after.equals(before)) {
      return new Made(before.revision(), "nothing to change");
    }
    return new Made(client.change(new ConfigChange(before.revision(), what, after)), what);
  }

  /**
   * Prints a change.
   *
   * @param context the process around the command
   * @param json whether to print JSON
   * @param made the change
   * @return the exit code
   */
  public static ExitCode print(CtlContext context, JsonFlag json, Made made) {
    json.print(
        context,
        made,
        () -> context.out().println("revision " + made.revision() + ": " + made.what()));
    return ExitCode.OK;
  }
}

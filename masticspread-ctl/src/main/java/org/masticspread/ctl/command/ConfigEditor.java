package org.masticspread.ctl.command;

import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.client.ConfigChange;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;

/**
 * An editor that reads the configuration, changes it and writes it back with the revision that was
 * read as the expected one.
 *
 * <p>A concurrent change is an error; the edit is not retried.
 */
public final class ConfigEditor {
  private ConfigEditor() {}

  /** A function that changes a configuration. */
  @FunctionalInterface
  public interface Edit {
    /**
     * Returns the configuration after the change.
     *
     * @param before the previous configuration
     * @return the changed configuration
     * @throws MasticspreadException if the change can't be made
     */
    Configuration apply(Configuration before) throws MasticspreadException;
  }

  /**
   * A change that was applied.
   *
   * @param revision the revision that it created
   * @param what a one-sentence description of the change
   */
  public record AppliedChange(long revision, String what) {}

  /**
   * Applies a change; a change without effect is not sent.
   *
   * @param client calls the nodes
   * @param what a one-sentence description of the change
   * @param edit the change
   * @return the change that was applied
   * @throws MasticspreadException if the change can't be made or conflicts with a concurrent one
   */
  public static AppliedChange edit(ApiClient client, String what, Edit edit)
      throws MasticspreadException {
    Configuration before = client.configuration();
    Configuration after = edit.apply(before);
    if (after.equals(before)) {
      return new AppliedChange(before.revision(), "nothing to change");
    }
    return new AppliedChange(client.change(new ConfigChange(before.revision(), what, after)), what);
  }

  /**
   * Prints a change.
   *
   * @param context the environment of the process
   * @param json whether to print JSON
   * @param change the change
   * @return the exit code
   */
  public static ExitCode print(CtlContext context, JsonFlag json, AppliedChange change) {
    json.print(
        context,
        change,
        () -> context.out().println("revision " + change.revision() + ": " + change.what()));
    return ExitCode.OK;
  }
}

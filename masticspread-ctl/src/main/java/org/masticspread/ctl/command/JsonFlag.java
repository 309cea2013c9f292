package org.masticspread.ctl.command;

import org.masticspread.ctl.output.Output;
import picocli.CommandLine.Option;

/** The flag that selects JSON output instead of text. */
public final class JsonFlag {
  @Option(names = "--json", description = "Print JSON in place of text.")
  private boolean json;

  /**
   * Returns whether JSON output is selected.
   *
   * @return true if JSON is selected
   */
  public boolean isJson() {
    return json;
  }

  /**
   * Prints a value as JSON if selected, and as text otherwise.
   *
   * @param context the environment of the process
   * @param value the value
   * @param text prints the value as text
   */
  public void print(CtlContext context, Object value, Runnable text) {
    if (json) {
      Output.json(context.out(), value);
      return;
    }
    text.run();
  }
}

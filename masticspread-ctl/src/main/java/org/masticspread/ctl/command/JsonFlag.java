package org.masticspread.ctl.command;

import org.masticspread.ctl.output.Output;
import picocli.CommandLine.Option;

/** The flag that asks for JSON in place of text. */
public final class JsonFlag {
  @Option(names = "--json", description = "Print JSON in place of text.")
  private boolean json;

  /**
   * Tells whether JSON is asked for.
   *
   * @return whether to print JSON
   */
  public boolean isJson() {
    return json;
  }

  /**
   * Prints a value as JSON, or runs the given text output.
   *
   * @param context the process around the command
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

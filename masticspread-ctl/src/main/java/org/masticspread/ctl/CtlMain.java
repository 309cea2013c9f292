package org.masticspread.ctl;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import org.masticspread.ctl.command.CtlContext;

/**
 * The entry point of the {@code masticctl} binary.
 *
 * <p>Example: {@code masticctl request --team temple-desk --work-class orders hello}.
 */
public final class CtlMain {
  private CtlMain() {}

  /**
   * Runs the program and exits with one of the {@link org.masticspread.ctl.command.ExitCode exit
   * codes}.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.setProperty("masticspread.log.level", "OFF");
    CtlContext context =
        new CtlContext(
            System.getenv(),
            new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)),
            new PrintWriter(System.out, true, StandardCharsets.UTF_8),
            new PrintWriter(System.err, true, StandardCharsets.UTF_8),
            InstantSource.system(),
            time -> Thread.sleep(time.toMillis()));
    System.exit(run(context, args));
  }

  /**
   * Runs one command.
   *
   * @param context the environment of the process
   * @param args the command line
   * @return the number of the exit code
   */
  public static int run(CtlContext context, String... args) {
    int exit = CtlCommandLine.create(context).execute(args);
    context.out().flush();
    context.err().flush();
    return exit;
  }
}

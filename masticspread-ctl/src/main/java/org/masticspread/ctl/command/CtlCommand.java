package org.masticspread.ctl.command;

import java.util.concurrent.Callable;
import org.masticspread.model.result.MasticspreadException;

/** The base class of the commands, which report errors as checked exceptions. */
public abstract class CtlCommand implements Callable<Integer> {
  private final CtlContext context;

  /**
   * Creates a command.
   *
   * @param context the environment of the process
   */
  protected CtlCommand(CtlContext context) {
    this.context = context;
  }

  /**
   * Returns the environment of the process.
   *
   * @return the context
   */
  protected final CtlContext context() {
    return context;
  }

  /**
   * Runs the command.
   *
   * @return the exit code
   * @throws MasticspreadException if the command fails
   * @throws InterruptedException if the thread is interrupted
   */
  protected abstract ExitCode run() throws MasticspreadException, InterruptedException;

  @Override
  public final Integer call() throws Exception {
    return run().number();
  }
}

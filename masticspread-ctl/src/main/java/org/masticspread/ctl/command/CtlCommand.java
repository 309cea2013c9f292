package org.masticspread.ctl.command;

import java.util.concurrent.Callable;
import org.masticspread.model.result.MasticspreadException;

/** A command; its errors are checked. */
public abstract class CtlCommand implements Callable<Integer> {
  private final CtlContext context;

  /**
   * Creates a command.
   *
   * @param context the process around it
   */
  protected CtlCommand(CtlContext context) {
    this.context = context;
  }

  /**
   * Returns the process around the command.
   *
   * @return the context
   */
  protected final CtlContext context() {
    return context;
  }

  /**
   * Runs the command.
   *
   * @return how it ended
   * @throws MasticspreadException if it can't be done
   * @throws InterruptedException if the thread is interrupted
   */
  protected abstract ExitCode run() throws MasticspreadException, InterruptedException;

  @Override
  public final Integer call() throws Exception {
    return run().number();
  }
}

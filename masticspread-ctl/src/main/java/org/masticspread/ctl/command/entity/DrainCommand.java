package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.model.result.MasticspreadException;
import picocli.CommandLine.Command;

/** Drains an endpoint or worker: it gets no new work and completes the work in flight. */
@Command
final class DrainCommand<T> extends EntityCommand<T> {
  /** A function that returns the entry in a state in which it accepts no new work. */
  @FunctionalInterface
  interface Drain<T> {
    T apply(T entry) throws MasticspreadException;
  }

  private final Drain<T> drain;

  DrainCommand(CtlContext context, EntityKind<T> kind, Drain<T> drain) {
    super(context, kind);
    this.drain = drain;
  }

  @Override
  protected ExitCode run() throws MasticspreadException {
    return edit("drained", c -> kind().put(c, drain.apply(find(c))));
  }
}

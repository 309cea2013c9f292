package org.masticspread.ctl.command;

import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints the completion script of a shell. */
@Command(
    name = "completion",
    description = "Print a completion script; use it by 'source <(masticctl completion bash)'.")
public final class CompletionCommand extends CtlCommand {
  @Spec private CommandSpec spec;

  @Parameters(paramLabel = "SHELL", description = "bash or zsh.")
  private Shell shell;

  CompletionCommand(CtlContext context) {
    super(context);
  }

  /** The supported shells; both use the same script. */
  enum Shell {
    BASH,
    ZSH
  }

  @Override
  protected ExitCode run() {
    context().out().print(AutoComplete.bash("masticctl", spec.root().commandLine()));
    return ExitCode.OK;
  }
}

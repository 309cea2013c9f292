package org.masticspread.ctl.command.entity;

import java.util.function.Supplier;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.ctl.config.EntityKinds;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;

/** Adds the commands on entries of the configuration to the root command. */
public final class EntityCommands {
  private EntityCommands() {}

  /**
   * Adds the commands of each kind of entry.
   *
   * @param root the root command
   * @param context the process around the commands
   */
  public static void addTo(CommandLine root, CtlContext context) {
    root.addSubcommand("pool", commands(context, EntityKinds.POOL, PoolFlags::new));
    root.addSubcommand("team", teams(context));
    root.addSubcommand(
        "work-class", commands(context, EntityKinds.WORK_CLASS, WorkClassFlags::new));
    root.addSubcommand("endpoint", commands(context, EntityKinds.ENDPOINT, EndpointFlags::new));
    root.addSubcommand("worker", commands(context, EntityKinds.WORKER, WorkerFlags::new));
    root.addSubcommand("drain", drain(context));
  }

  private static CommandSpec teams(CtlContext context) {
    CommandSpec spec = commands(context, EntityKinds.TEAM, TeamFlags::new);
    spec.addSubcommand("token", CommandSpec.forAnnotatedObject(new TeamTokenCommand(context)));
    return spec;
  }

  private static <T> CommandSpec commands(
      CtlContext context, EntityKind<T> kind, Supplier<EntityFlags<T>> flags) {
    EntityFlags<T> create = flags.get();
    CommandSpec spec = CommandSpec.create();
    spec.usageMessage().description("Create, list, show, change and retire: " + kind.noun() + ".");
    spec.addSubcommand("create", withFlags(new CreateCommand<>(context, kind, create), create));
    spec.addSubcommand("list", CommandSpec.forAnnotatedObject(new ListCommand<>(context, kind)));
    spec.addSubcommand("show", CommandSpec.forAnnotatedObject(new ShowCommand<>(context, kind)));
    EntityFlags<T> change = flags.get();
    spec.addSubcommand("change", withFlags(new ChangeCommand<>(context, kind, change), change));
    spec.addSubcommand(
        "retire", CommandSpec.forAnnotatedObject(new RetireCommand<>(context, kind)));
    return spec;
  }

  private static CommandSpec withFlags(Object command, EntityFlags<?> flags) {
    return CommandSpec.forAnnotatedObject(command)
        .addMixin("fields", CommandSpec.forAnnotatedObject(flags));
  }

  private static CommandSpec drain(CtlContext context) {
    CommandSpec spec = CommandSpec.create();
    spec.usageMessage().description("Let an endpoint or worker end its work and take no more.");
    spec.addSubcommand(
        "endpoint",
        CommandSpec.forAnnotatedObject(
            new DrainCommand<>(context, EntityKinds.ENDPOINT, EntityKinds::withState)));
    spec.addSubcommand(
        "worker",
        CommandSpec.forAnnotatedObject(
            new DrainCommand<>(context, EntityKinds.WORKER, EntityKinds::withState)));
    return spec;
  }
}

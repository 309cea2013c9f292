package org.masticspread.ctl.command.entity;

import java.util.function.Supplier;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.ctl.config.EntityKinds;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;

/** Adds the commands on configuration entries to the root command. */
public final class EntityCommands {
  private EntityCommands() {}

  /**
   * Adds the commands of each kind of entry.
   *
   * @param root the root command
   * @param context the environment of the processs
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
    add(
        spec,
        "token",
        "Print the bearer token of the team NAME; for operators.",
        new TeamTokenCommand(context));
    return spec;
  }

  private static <T> CommandSpec commands(
      CtlContext context, EntityKind<T> kind, Supplier<EntityFlags<T>> flags) {
    EntityFlags<T> create = flags.get();
    CommandSpec spec = CommandSpec.create();
    String noun = kind.noun();
    spec.usageMessage().description("Create, list, show, change and retire each " + noun + ".");
    add(spec, "create", "Create the " + noun + " NAME.", new CreateCommand<>(context, kind, create))
        .addMixin("fields", CommandSpec.forAnnotatedObject(create));
    add(spec, "list", "List each " + noun + ".", new ListCommand<>(context, kind));
    add(spec, "show", "Show the " + noun + " NAME.", new ShowCommand<>(context, kind));
    EntityFlags<T> change = flags.get();
    String changeDescription = "Change the " + noun + " NAME; fields without a flag stay.";
    add(spec, "change", changeDescription, new ChangeCommand<>(context, kind, change))
        .addMixin("fields", CommandSpec.forAnnotatedObject(change));
    String retireDescription = "Take the " + noun + " NAME out of service; the name stays used.";
    add(spec, "retire", retireDescription, new RetireCommand<>(context, kind));
    return spec;
  }

  private static CommandSpec add(
      CommandSpec parent, String name, String description, Object command) {
    CommandSpec spec = CommandSpec.forAnnotatedObject(command);
    spec.usageMessage().description(description);
    parent.addSubcommand(name, spec);
    return spec;
  }

  private static CommandSpec drain(CtlContext context) {
    CommandSpec spec = CommandSpec.create();
    spec.usageMessage().description("Let an endpoint or worker end its work and take no more.");
    String descriptionEnd = " NAME no new work; work in flight ends.";
    add(
        spec,
        "endpoint",
        "Give the endpoint" + descriptionEnd,
        new DrainCommand<>(context, EntityKinds.ENDPOINT, EntityKinds::drain));
    add(
        spec,
        "worker",
        "Give the worker" + descriptionEnd,
        new DrainCommand<>(context, EntityKinds.WORKER, EntityKinds::drain));
    return spec;
  }
}

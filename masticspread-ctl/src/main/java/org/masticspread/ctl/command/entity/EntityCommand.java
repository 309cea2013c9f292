package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.ConfigEditor;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.config.EntityKind;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** The base class of the commands on one named entry. */
abstract class EntityCommand<T> extends CtlCommand {
  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;

  @Parameters(
      paramLabel = "NAME",
      description = "The name of the entry; TEAM/CLASS for a work class.")
  private String name;

  private final EntityKind<T> kind;

  EntityCommand(CtlContext context, EntityKind<T> kind) {
    super(context);
    this.kind = kind;
  }

  EntityKind<T> kind() {
    return kind;
  }

  NodeFlags node() {
    return node;
  }

  JsonFlag json() {
    return json;
  }

  String name() {
    return name;
  }

  T find(Configuration configuration) throws MasticspreadException {
    return kind.find(configuration, name)
        .orElseThrow(
            () ->
                new MasticspreadException(
                    ResultCode.NOT_FOUND, "there is no " + kind.noun() + " " + name));
  }

  /** Applies a change and prints it; the verb describes it in the past tense. */
  ExitCode edit(String verb, ConfigEditor.Edit edit) throws MasticspreadException {
    String what = kind.noun() + " " + name + " " + verb;
    return ConfigEditor.print(context(), json, ConfigEditor.edit(node.client(), what, edit));
  }
}

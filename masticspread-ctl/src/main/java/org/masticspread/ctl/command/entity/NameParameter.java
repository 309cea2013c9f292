package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.config.EntityKind;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;
import picocli.CommandLine.Parameters;

/** The parameter that names an entry. */
final class NameParameter {
  @Parameters(
      paramLabel = "NAME",
      description = "The name of the entry; TEAM/CLASS for a work class.")
  private String name;

  String name() {
    return name;
  }

  <T> T find(EntityKind<T> kind, Configuration configuration) throws MasticspreadException {
    return kind.find(configuration, name)
        .orElseThrow(
            () ->
                new MasticspreadException(
                    ResultCode.NOT_FOUND, "there is no " + kind.noun() + " " + name));
  }
}

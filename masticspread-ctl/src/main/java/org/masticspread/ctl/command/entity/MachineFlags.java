package org.masticspread.ctl.command.entity;

import org.masticspread.model.config.EndpointState;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.PoolId;
import picocli.CommandLine.Option;

/** The flags for the fields that endpoints and workers have in common. */
class MachineFlags {
  @Option(names = "--pool", paramLabel = "POOL", description = "Its pool.")
  PoolId pool;

  @Option(names = "--data-centre", paramLabel = "NAME", description = "Its data centre.")
  DataCentreId dataCentre;

  @Option(names = "--address", paramLabel = "ADDRESS", description = "Host and port, or a URL.")
  String address;

  @Option(
      names = "--state",
      paramLabel = "STATE",
      description = "ACTIVE (when created), LEAVING or RETIRED.")
  EndpointState state;
}

package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.ctl.units.MemorySize;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.resource.ResourceVector;
import picocli.CommandLine.Option;

/** The flags for the fields of a worker. */
final class WorkerFlags extends MachineFlags implements EntityFlags<WorkerConfig> {
  @Option(names = "--rack", paramLabel = "RACK", description = "Its rack.")
  private RackId rack;

  @Option(names = "--millicores", paramLabel = "N", description = "Thousandths of a core it holds.")
  private Long millicores;

  @Option(names = "--memory", paramLabel = "SIZE", description = "Memory it holds, such as 128GiB.")
  private MemorySize memory;

  @Option(
      names = "--accelerators",
      paramLabel = "N",
      description = "Whole accelerators it holds; 0 when created.")
  private Integer accelerators;

  @Override
  public WorkerConfig create(String name) throws UsageException {
    Flags.require("--pool", pool, "the name of a pool");
    Flags.require("--rack", rack, "the name of a rack");
    Flags.require("--data-centre", dataCentre, "the name of a data centre of the pool");
    Flags.require("--address", address, "host and port, or a URL");
    Flags.require("--millicores", millicores, "a whole number from 1");
    Flags.require("--memory", memory, MemorySize.RULE);
    WorkerId id = Flags.parseName("NAME", name, WorkerId::of);
    return change(
        new WorkerConfig(
            id, pool, rack, dataCentre, address, ResourceVector.ZERO, EndpointState.ACTIVE));
  }

  @Override
  public WorkerConfig change(WorkerConfig before) throws UsageException {
    return new WorkerConfig(
        before.name(),
        Flags.orDefault(pool, before.pool()),
        Flags.orDefault(rack, before.rack()),
        Flags.orDefault(dataCentre, before.dataCentre()),
        Flags.orDefault(address, before.address()),
        ResourceFlags.vector("--", before.capacity(), millicores, memory, accelerators),
        Flags.orDefault(state, before.state()));
  }
}

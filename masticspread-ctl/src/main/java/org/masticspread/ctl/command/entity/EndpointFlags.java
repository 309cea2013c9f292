package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.id.EndpointId;
import picocli.CommandLine.Option;

/** The flags for the fields of an endpoint. */
final class EndpointFlags extends MachineFlags implements EntityFlags<EndpointConfig> {
  private static final int MAX_SLOTS = 100_000;

  @Option(names = "--slots", paramLabel = "N", description = "Requests it runs at once, from 1.")
  private Integer slots;

  @Option(
      names = "--connections",
      paramLabel = "N",
      description = "Connections it accepts, from 1.")
  private Integer connections;

  @Override
  public EndpointConfig create(String name) throws UsageException {
    Flags.require("--pool", pool, "the name of a pool");
    Flags.require("--data-centre", dataCentre, "the name of a data centre of the pool");
    Flags.require("--address", address, "host and port, or a URL");
    Flags.require("--slots", slots, "a whole number from 1");
    Flags.require("--connections", connections, "a whole number from 1");
    EndpointId id = Flags.parseName("NAME", name, EndpointId::of);
    return change(
        new EndpointConfig(
            id, pool, dataCentre, address, slots, connections, EndpointState.ACTIVE));
  }

  @Override
  public EndpointConfig change(EndpointConfig before) throws UsageException {
    Flags.requireBetween("--slots", slots, 1, MAX_SLOTS);
    Flags.requireBetween("--connections", connections, 1, MAX_SLOTS);
    return new EndpointConfig(
        before.name(),
        Flags.orDefault(pool, before.pool()),
        Flags.orDefault(dataCentre, before.dataCentre()),
        Flags.orDefault(address, before.address()),
        Flags.orDefault(slots, before.slots()),
        Flags.orDefault(connections, before.connections()),
        Flags.orDefault(state, before.state()));
  }
}

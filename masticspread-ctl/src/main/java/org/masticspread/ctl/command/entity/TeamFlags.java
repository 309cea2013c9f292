package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.ctl.units.MemorySize;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.resource.ResourceVector;
import picocli.CommandLine.Option;

/** The flags for the fields of a team. */
final class TeamFlags implements EntityFlags<TeamConfig> {
  private static final int MAX_WEIGHT = 1_000_000;

  @Option(names = "--pool", paramLabel = "POOL", description = "The pool that serves the team.")
  private PoolId pool;

  @Option(
      names = "--weight",
      paramLabel = "N",
      description = "Its part of spare capacity against other teams, from 1; 1 when created.")
  private Integer weight;

  @Option(
      names = "--floor",
      paramLabel = "PART",
      description = "The part of the pool it always gets, from 0 to 1; 0 when created.")
  private Double floor;

  @Option(
      names = "--quota-millicores",
      paramLabel = "N",
      description = "The most thousandths of a core that its jobs hold at once.")
  private Long millicores;

  @Option(
      names = "--quota-memory",
      paramLabel = "SIZE",
      description = "The most memory that its jobs hold at once, such as 64GiB.")
  private MemorySize memory;

  @Option(
      names = "--quota-accelerators",
      paramLabel = "N",
      description = "The most accelerators that its jobs hold at once.")
  private Integer accelerators;

  @Override
  public TeamConfig create(String name) throws UsageException {
    Flags.require("--pool", pool, "the name of a pool");
    TeamId team = Flags.parseName("NAME", name, TeamId::of);
    return change(new TeamConfig(team, pool, 1, 0, null, false));
  }

  @Override
  public TeamConfig change(TeamConfig before) throws UsageException {
    Flags.requireBetween("--weight", weight, 1, MAX_WEIGHT);
    Flags.requireBetween("--floor", floor, 0, 1);
    return new TeamConfig(
        before.name(),
        Flags.orDefault(pool, before.pool()),
        Flags.orDefault(weight, before.weight()),
        Flags.orDefault(floor, before.floor()),
        quota(before.quota()),
        before.retired());
  }

  private ResourceVector quota(ResourceVector before) throws UsageException {
    if (millicores == null && memory == null && accelerators == null) {
      return before;
    }
    if (before == null) {
      Flags.require("--quota-millicores", millicores, "a whole number with the other two quotas");
      Flags.require("--quota-memory", memory, MemorySize.RULE + ", with the other two quotas");
      Flags.require("--quota-accelerators", accelerators, "a whole number with the other two");
    }
    return ResourceFlags.vector("--quota-", before, millicores, memory, accelerators);
  }
}

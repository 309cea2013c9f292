package org.masticspread.ctl.command.entity;

import java.util.List;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.PoolId;
import picocli.CommandLine.Option;

/** The flags for the fields of a pool. */
final class PoolFlags implements EntityFlags<PoolConfig> {
  @Option(
      names = "--data-centres",
      split = ",",
      paramLabel = "NAME",
      description = "The data centres of the pool, separated by commas.")
  private List<DataCentreId> dataCentres;

  @Override
  public PoolConfig create(String name) throws UsageException {
    List<DataCentreId> names =
        Flags.require("--data-centres", dataCentres, "names of data centres");
    return new PoolConfig(Flags.parseName("NAME", name, PoolId::of), names, false);
  }

  @Override
  public PoolConfig change(PoolConfig before) {
    return new PoolConfig(
        before.name(), Flags.orDefault(dataCentres, before.dataCentres()), before.retired());
  }
}

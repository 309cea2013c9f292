package org.masticspread.model.config;

import java.util.List;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.PoolId;

/**
 * The configuration of a pool of endpoints and workers shared by teams.
 *
 * @param name the pool
 * @param dataCentres its data centres
 * @param retired whether new work is refused
 */
public record PoolConfig(PoolId name, List<DataCentreId> dataCentres, boolean retired) {

  /** Copies the list. */
  public PoolConfig {
    dataCentres = List.copyOf(dataCentres);
  }
}

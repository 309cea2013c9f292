package org.masticspread.cell.journal;

import java.util.Objects;
import org.masticspread.model.resource.ResourceVector;

/**
 * The cap of a team that has accepted jobs, stored so that later leaders know it if the team leaves
 * the configuration, or if their own configuration is older. It is written with the first of the
 * jobs and with each newer configuration that has the team.
 *
 * @param name the name of the team
 * @param cap what the team may have running in total; 0 means that a resource is not limited
 * @param configVersion the version of the configuration that says so
 */
public record TeamRecord(String name, ResourceVector cap, long configVersion) {
  /** Checks that no field is missing. */
  public TeamRecord {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(cap, "cap");
  }
}

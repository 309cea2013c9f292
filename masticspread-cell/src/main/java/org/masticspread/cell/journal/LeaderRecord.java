package org.masticspread.cell.journal;

import java.util.Objects;

/**
 * The VM that leads the cell, stored in the leader row.
 *
 * @param vm the name of the VM
 * @param life the incarnation of its process
 * @param epoch the epoch, which rises with each change of the leader; also the fencing token that
 *     workers check
 */
public record LeaderRecord(String vm, String life, long epoch) {
  /** Checks that no field is missing. */
  public LeaderRecord {
    Objects.requireNonNull(vm, "vm");
    Objects.requireNonNull(life, "life");
  }
}

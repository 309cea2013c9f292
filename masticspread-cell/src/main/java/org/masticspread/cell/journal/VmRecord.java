package org.masticspread.cell.journal;

import java.util.Objects;

/**
 * A VM that can lead the cell.
 *
 * @param vm the name of the VM
 * @param life the incarnation of its process
 * @param address the host and port at which its peers reach it
 * @param strength its processor speed; the strongest VM is preferred as the leader
 * @param dataCentre the data centre in which it runs
 */
public record VmRecord(String vm, String life, String address, double strength, String dataCentre) {
  /** Checks that no field is missing. */
  public VmRecord {
    Objects.requireNonNull(vm, "vm");
    Objects.requireNonNull(life, "life");
    Objects.requireNonNull(address, "address");
  }
}

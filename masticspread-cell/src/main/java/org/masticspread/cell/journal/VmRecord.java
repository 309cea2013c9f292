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
 * @param region the region in which it runs; empty if there is only one
 * @param storeMillis the time in ms in which the store answered this VM before it registered; 0 if
 *     it was not measured
 */
public record VmRecord(
    String vm,
    String life,
    String address,
    double strength,
    String dataCentre,
    String region,
    long storeMillis) {
  /** Checks that no field is missing; rows of earlier versions have no region. */
  public VmRecord {
    Objects.requireNonNull(vm, "vm");
    Objects.requireNonNull(life, "life");
    Objects.requireNonNull(address, "address");
    region = region == null ? "" : region;
  }

  /**
   * Creates the record of a VM where there is only one region.
   *
   * @param vm the name of the VM
   * @param life the incarnation of its process
   * @param address the host and port at which its peers reach it
   * @param strength its processor speed
   * @param dataCentre the data centre in which it runs
   */
  public VmRecord(String vm, String life, String address, double strength, String dataCentre) {
    this(vm, life, address, strength, dataCentre, "", 0);
  }

  /**
   * Returns this record with another region.
   *
   * @param newRegion the region
   * @return the record
   */
  public VmRecord inRegion(String newRegion) {
    return new VmRecord(vm, life, address, strength, dataCentre, newRegion, storeMillis);
  }

  /**
   * Returns this record with a measured latency of the store.
   *
   * @param millis the latency in ms
   * @return the record
   */
  public VmRecord withStoreMillis(long millis) {
    return new VmRecord(vm, life, address, strength, dataCentre, region, millis);
  }
}

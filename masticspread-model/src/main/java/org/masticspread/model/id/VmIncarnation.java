package org.masticspread.model.id;

/**
 * Names one life of a VM: a restart brings a higher number.
 *
 * @param vm the VM
 * @param number the number of this life, rising with each start
 */
public record VmIncarnation(VmId vm, long number) {

  @Override
  public String toString() {
    return vm + "@" + number;
  }
}

package org.masticspread.model.id;

/**
 * Identifies one incarnation of a VM; each restart has a higher number.
 *
 * @param vm the VM
 * @param number the incarnation number, which increases with each start
 */
public record VmIncarnation(VmId vm, long number) {

  @Override
  public String toString() {
    return vm + "@" + number;
  }
}

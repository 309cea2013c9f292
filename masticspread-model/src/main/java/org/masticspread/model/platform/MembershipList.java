package org.masticspread.model.platform;

import org.masticspread.model.id.VmId;

/** The platform's lagging list of live and leaving VMs. */
public interface MembershipList {
  /**
   * Reads the list.
   *
   * @return what the list says now
   * @throws StoreException if the platform does not answer
   */
  MembershipView read() throws StoreException;

  /**
   * Adds this VM to the list, or marks it as leaving.
   *
   * @param member the VM
   * @throws StoreException if the platform does not answer
   */
  void register(Member member) throws StoreException;

  /**
   * Takes a VM that has stopped off the list.
   *
   * @param vm the VM
   * @throws StoreException if the platform does not answer
   */
  void deregister(VmId vm) throws StoreException;
}

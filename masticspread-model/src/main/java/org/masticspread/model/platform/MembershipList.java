package org.masticspread.model.platform;

import org.masticspread.model.id.VmId;

/** The membership list of the platform: live and leaving VMs. The list may be out of date. */
public interface MembershipList {
  /**
   * Reads the list.
   *
   * @return the current content of the list
   * @throws StoreException if the call fails
   */
  MembershipView read() throws StoreException;

  /**
   * Adds this VM to the list, or marks it as leaving.
   *
   * @param member the VM
   * @throws StoreException if the call fails
   */
  void register(Member member) throws StoreException;

  /**
   * Removes a stopped VM from the list.
   *
   * @param vm the VM
   * @throws StoreException if the call fails
   */
  void deregister(VmId vm) throws StoreException;
}

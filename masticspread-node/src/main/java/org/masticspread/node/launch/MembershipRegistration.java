package org.masticspread.node.launch;

import com.google.common.flogger.FluentLogger;
import java.util.function.Supplier;
import org.masticspread.model.platform.Member;
import org.masticspread.model.platform.MembershipList;
import org.masticspread.model.platform.StoreException;
import org.masticspread.node.member.Members;

/** Registration of this VM in the membership list of the platform, and reader of that list. */
final class MembershipRegistration {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final MembershipList list;
  private final Members members;
  private final Supplier<Member> self;

  MembershipRegistration(MembershipList list, Members members, Supplier<Member> self) {
    this.list = list;
    this.members = members;
    this.self = self;
  }

  /**
   * Registers this VM and applies the current list. A failure is logged; the next refresh tries
   * again.
   */
  void refresh() {
    try {
      list.register(self.get());
      members.update(list.read());
    } catch (StoreException e) {
      LOG.atWarning().log("member: the membership list is unavailable: %s", e.getMessage());
    }
  }

  /** Removes this VM from the list. */
  void deregister() {
    try {
      list.deregister(self.get().vm());
    } catch (StoreException e) {
      LOG.atWarning().log(
          "member: cannot remove this VM from the membership list: %s", e.getMessage());
    }
  }
}

package org.masticspread.node.launch;

import com.google.common.flogger.FluentLogger;
import java.util.function.Supplier;
import org.masticspread.model.platform.Member;
import org.masticspread.model.platform.MembershipList;
import org.masticspread.model.platform.StoreException;
import org.masticspread.node.member.Members;

/** Keeps this VM on the platform's membership list and reads what the list says. */
final class Listing {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final MembershipList list;
  private final Members members;
  private final Supplier<Member> self;

  Listing(MembershipList list, Members members, Supplier<Member> self) {
    this.list = list;
    this.members = members;
    this.self = self;
  }

  /** Tells the list of this VM and takes in what it says; trouble is logged. */
  void refresh() {
    try {
      list.register(self.get());
      members.update(list.read());
    } catch (StoreException e) {
      LOG.atWarning().log("member: the list did not answer: %s", e.getMessage());
    }
  }

  /** Takes this VM off the list. */
  void end() {
    try {
      list.deregister(self.get().vm());
    } catch (StoreException e) {
      LOG.atWarning().log("member: not taken off the list: %s", e.getMessage());
    }
  }
}

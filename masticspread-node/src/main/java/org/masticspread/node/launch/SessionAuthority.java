package org.masticspread.node.launch;

import java.util.function.Supplier;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.Digest;
import org.masticspread.node.member.Authority;
import org.masticspread.node.member.Members;
import org.masticspread.state.session.SessionKeeper;

/**
 * Authority based on the session: this VM may act while its session is held. While the store is
 * unavailable, it may continue as long as it hears from at least half of the cell and none of those
 * VMs reaches the store either, since no VM can have fenced it then.
 */
final class SessionAuthority implements Authority {
  private final VmId self;
  private final Supplier<SessionKeeper> sessions;
  private final Members members;

  SessionAuthority(VmId self, Supplier<SessionKeeper> sessions, Members members) {
    this.self = self;
    this.sessions = sessions;
    this.members = members;
  }

  @Override
  public boolean mayAct() {
    SessionKeeper session = sessions.get();
    if (session.isFenced()) {
      return false;
    }
    return session.isHeld() || (session.state().isPresent() && isStoreDownForAll());
  }

  private boolean isStoreDownForAll() {
    return members.hearsAtLeastHalf()
        && members.fresh().stream().filter(this::isPeer).noneMatch(Digest::storeReached);
  }

  private boolean isPeer(Digest digest) {
    return !digest.from().vm().equals(self);
  }
}

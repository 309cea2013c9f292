package org.masticspread.node.launch;

import java.util.function.Supplier;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.Digest;
import org.masticspread.node.member.Authority;
import org.masticspread.node.member.Members;
import org.masticspread.state.session.SessionKeeper;

/**
 * Lets this VM act while its session is held. While the store is out of reach, it may go on as long
 * as it hears at least half of the cell and none of those reaches the store either: then nobody can
 * have fenced it.
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

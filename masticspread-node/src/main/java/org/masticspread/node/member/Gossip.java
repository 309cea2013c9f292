package org.masticspread.node.member;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.Acknowledged;
import org.masticspread.model.peer.Digest;

/**
 * Sends the digest of this VM to every peer: one message per peer and interval.
 *
 * <p>Example: {@code gossip.send()} at each interval; {@code members.update(digest)} at the
 * receiver.
 */
public final class Gossip {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final Members members;
  private final PeerCalls calls;
  private final Supplier<Digest> self;
  private final Duration timeout;
  private final Meter failed;

  /**
   * Creates the gossip.
   *
   * @param members the members as known to this VM
   * @param calls the calls to peers
   * @param self the supplier of the digest of this VM
   * @param timeout the timeout of a call
   * @param metrics the registry of metrics
   */
  public Gossip(
      Members members,
      PeerCalls calls,
      Supplier<Digest> self,
      Duration timeout,
      MetricRegistry metrics) {
    this.members = members;
    this.calls = calls;
    this.self = self;
    this.timeout = timeout;
    this.failed = metrics.meter("gossip.failed");
  }

  /** Records the digest of this VM locally and sends it to every peer. */
  public void send() {
    Digest digest = self.get();
    members.update(digest);
    List<VmId> others = members.others();
    others.forEach(vm -> send(vm, digest));
  }

  private void send(VmId vm, Digest digest) {
    calls
        .call(vm, digest, Acknowledged.class, timeout)
        .whenComplete(
            (ok, thrown) -> {
              if (thrown != null) {
                failed.mark();
                LOG.atFine().log("gossip: cannot reach %s: %s", vm, thrown.getMessage());
              }
            });
  }
}

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
 * Tells every peer how this VM is. Costs one message for each peer at each interval.
 *
 * <p>Example: {@code gossip.tell()} at each interval; {@code members.update(digest)} at the
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
   * @param members the view of this VM
   * @param calls calls peers
   * @param self makes the digest of this VM
   * @param timeout how long to wait for an answer
   * @param metrics where it counts
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

  /** Takes the digest of this VM into its own view and tells every peer. */
  public void tell() {
    Digest digest = self.get();
    members.update(digest);
    List<VmId> others = members.others();
    others.forEach(vm -> tell(vm, digest));
  }

  private void tell(VmId vm, Digest digest) {
    calls
        .call(vm, digest, Acknowledged.class, timeout)
        .whenComplete(
            (ok, thrown) -> {
              if (thrown != null) {
                failed.mark();
                LOG.atFine().log("gossip: %s not reached: %s", vm, thrown.getMessage());
              }
            });
  }
}

package org.masticspread.wire;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.model.peer.PeerPort;
import org.masticspread.wire.internal.Target;
import org.masticspread.wire.internal.Wire;

/**
 * Calls to peers, one connection for each. Made by {@link PeerTransport#connect}.
 *
 * <p>A call fails with a {@link org.masticspread.model.peer.PeerException}: certain not sent when
 * no connection could be opened, a bound refused it, it was not wholly written or the peer refused
 * it; else possibly sent. Stages complete off the event loops, on threads of their own, which must
 * not block for long. Thread-safe.
 */
public final class PeerClient implements PeerPort, AutoCloseable {
  private final Wire wire;
  private final EventLoopGroup loops;
  private final Function<VmId, Optional<InetSocketAddress>> addresses;
  private final Map<VmId, Target> targets = new ConcurrentHashMap<>();

  PeerClient(
      Wire wire, EventLoopGroup loops, Function<VmId, Optional<InetSocketAddress>> addresses) {
    this.wire = wire;
    this.loops = loops;
    this.addresses = addresses;
  }

  @Override
  public CompletionStage<PeerMessage> call(VmId to, PeerMessage message, Duration timeout) {
    return targets.computeIfAbsent(to, this::target).call(message, timeout);
  }

  /**
   * Closes the connection to a peer that is gone. Blocks until its calls have ended, at most for
   * the close timeout.
   *
   * @param peer the peer
   */
  public void forget(VmId peer) {
    Target target = targets.remove(peer);
    if (target != null) {
      target.close();
    }
  }

  /** Refuses new calls, waits for those in flight within the bound, then closes. */
  @Override
  public void close() {
    targets.values().parallelStream().forEach(Target::close);
  }

  private Target target(VmId peer) {
    return new Target(wire, peer, loops, () -> addresses.apply(peer));
  }
}

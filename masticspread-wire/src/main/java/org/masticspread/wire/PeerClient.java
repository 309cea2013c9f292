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
import org.masticspread.wire.internal.PeerConnection;
import org.masticspread.wire.internal.WireContext;

/**
 * Client that calls peers, with one connection per peer. Created by {@link PeerTransport#connect}.
 *
 * <p>A call fails with a {@link org.masticspread.model.peer.PeerException}: as certainly not sent
 * if no connection could be opened, a limit was reached, the call was not completely written or the
 * peer refused it, and otherwise as possibly sent. Stages complete on separate threads, not on the
 * event loops; callbacks must not block these threads for long. Thread-safe.
 */
public final class PeerClient implements PeerPort, AutoCloseable {
  private final WireContext wire;
  private final EventLoopGroup loops;
  private final Function<VmId, Optional<InetSocketAddress>> addresses;
  private final Map<VmId, PeerConnection> connections = new ConcurrentHashMap<>();

  PeerClient(
      WireContext wire,
      EventLoopGroup loops,
      Function<VmId, Optional<InetSocketAddress>> addresses) {
    this.wire = wire;
    this.loops = loops;
    this.addresses = addresses;
  }

  @Override
  public CompletionStage<PeerMessage> call(VmId to, PeerMessage message, Duration timeout) {
    return connections.computeIfAbsent(to, this::newConnection).call(message, timeout);
  }

  /**
   * Closes the connection to a peer that no longer exists. Blocks until its calls have ended, at
   * most for the close timeout.
   *
   * @param peer the peer
   */
  public void disconnect(VmId peer) {
    PeerConnection connection = connections.remove(peer);
    if (connection != null) {
      connection.close();
    }
  }

  /**
   * Refuses new calls, waits for calls in flight up to the close timeout and then closes all
   * connections.
   */
  @Override
  public void close() {
    connections.values().parallelStream().forEach(PeerConnection::close);
  }

  private PeerConnection newConnection(VmId peer) {
    return new PeerConnection(wire, peer, loops, () -> addresses.apply(peer));
  }
}

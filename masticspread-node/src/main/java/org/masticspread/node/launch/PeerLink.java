package org.masticspread.node.launch;

import io.reactivex.rxjava3.core.Scheduler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.masticspread.model.id.VmId;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.node.settings.HostPort;
import org.masticspread.node.settings.NodeSettings;
import org.masticspread.wire.PeerClient;
import org.masticspread.wire.PeerServer;
import org.masticspread.wire.PeerTransport;
import org.masticspread.wire.WireSettings;

/**
 * Connection of a node with its peers over the peer protocol.
 *
 * <p>Example: {@code try (PeerLink link = PeerLink.open(settings, node, timers)) {...}}.
 */
public final class PeerLink implements AutoCloseable {
  private final PeerTransport peers;
  private final PeerServer server;
  private final PeerClient client;

  private PeerLink(PeerTransport peers, PeerServer server, PeerClient client) {
    this.peers = peers;
    this.server = server;
    this.client = client;
  }

  /**
   * Listens for peers and connects the node to them.
   *
   * @param settings the settings
   * @param node the node
   * @param timers the scheduler of heartbeats and timeouts
   * @return the link
   * @throws MasticspreadException if the address cannot be bound
   */
  public static PeerLink open(NodeSettings settings, Node node, Scheduler timers)
      throws MasticspreadException {
    HostPort listen = settings.listenPeers();
    byte[] key = settings.clusterKey().getBytes(StandardCharsets.UTF_8);
    PeerTransport peers =
        PeerTransport.create(WireSettings.defaults(), settings.vm(), key)
            .advertisedAddress(listen.toString())
            .metrics(node.metrics())
            .scheduler(timers);
    try {
      InetSocketAddress address = new InetSocketAddress(listen.host(), listen.port());
      PeerServer server = peers.listen(address, node.handler());
      PeerClient client = peers.connect(vm -> addressOf(node, vm));
      node.connect(client, listen.host() + ":" + server.address().getPort());
      return new PeerLink(peers, server, client);
    } catch (IOException e) {
      peers.close();
      throw new InvalidFieldException(
          "--listen-peers", listen.toString(), "a free address: " + e.getMessage());
    }
  }

  private static Optional<InetSocketAddress> addressOf(Node node, VmId vm) {
    return node.addressOf(vm)
        .flatMap(
            text -> {
              try {
                HostPort address = HostPort.parse("address", text);
                return Optional.of(new InetSocketAddress(address.host(), address.port()));
              } catch (InvalidFieldException e) {
                return Optional.empty();
              }
            });
  }

  /**
   * Returns the address on which it listens.
   *
   * @return the address with its actual port
   */
  public InetSocketAddress address() {
    return server.address();
  }

  @Override
  public void close() {
    client.close();
    server.close();
    peers.close();
  }
}

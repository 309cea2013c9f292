package org.masticspread.wire;

import java.net.InetSocketAddress;
import org.masticspread.wire.internal.Listener;

/** Server that answers the calls of peers, created by {@link PeerTransport#listen}. Thread-safe. */
public final class PeerServer implements AutoCloseable {
  private final Listener listener;

  PeerServer(Listener listener) {
    this.listener = listener;
  }

  /**
   * Returns the address on which the server listens.
   *
   * @return the address with the actual port
   */
  public InetSocketAddress address() {
    return listener.address();
  }

  /**
   * Refuses new calls, waits for calls in flight up to the close timeout and then closes all
   * connections.
   */
  @Override
  public void close() {
    listener.close();
  }
}

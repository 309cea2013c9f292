package org.masticspread.wire;

import java.net.InetSocketAddress;
import org.masticspread.wire.internal.Listener;

/** Answers the calls of peers. Made by {@link PeerTransport#listen}. Thread-safe. */
public final class PeerServer implements AutoCloseable {
  private final Listener listener;

  PeerServer(Listener listener) {
    this.listener = listener;
  }

  /**
   * Returns where it listens.
   *
   * @return the address with its real port
   */
  public InetSocketAddress address() {
    return listener.address();
  }

  /** Refuses new calls, ends those in flight within the bound, then closes all connections. */
  @Override
  public void close() {
    listener.close();
  }
}

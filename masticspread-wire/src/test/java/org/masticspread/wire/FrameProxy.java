package org.masticspread.wire;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A proxy between a client and a server on the loopback interface that filters frames. */
final class FrameProxy implements AutoCloseable {
  /** Filters the frames of both directions. */
  interface Filter {
    Filter PASS = (toServer, frame) -> List.of(frame);

    /** Returns the bytes to send instead of a frame; null to close the connection. */
    List<byte[]> apply(boolean toServer, byte[] frame);
  }

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final AtomicInteger connections = new AtomicInteger();
  private volatile Filter filter = Filter.PASS;
  private volatile int firstUnfilteredConnection;

  FrameProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
  }

  int connections() {
    return connections.get();
  }

  /**
   * Filters the frames of the connections that are open now; frames of later connections pass
   * unchanged.
   */
  void filter(Filter newFilter) {
    filter = newFilter;
    firstUnfilteredConnection = connections.get();
  }

  /** Filters the frames of all connections, including later ones. */
  void filterAll(Filter newFilter) {
    filter = newFilter;
    firstUnfilteredConnection = Integer.MAX_VALUE;
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket client = listener.accept();
        sockets.add(client);
        Socket server = connect(client);
        sockets.add(server);
        int number = connections.getAndIncrement();
        start(() -> pump(client, server, true, number));
        start(() -> pump(server, client, false, number));
      } catch (IOException e) {
        continue;
      }
    }
  }

  /** Connects to the target. If that fails, closes the connection of the client. */
  private Socket connect(Socket client) throws IOException {
    try {
      return new Socket(target.getAddress(), target.getPort());
    } catch (IOException e) {
      client.close();
      throw e;
    }
  }

  private void pump(Socket from, Socket to, boolean toServer, int number) {
    try (from;
        to) {
      DataInputStream in = new DataInputStream(from.getInputStream());
      OutputStream out = to.getOutputStream();
      while (true) {
        byte[] body = new byte[in.readInt()];
        in.readFully(body);
        byte[] frame = ByteBuffer.allocate(body.length + 4).putInt(body.length).put(body).array();
        Filter current = number < firstUnfilteredConnection ? filter : Filter.PASS;
        List<byte[]> replacement = current.apply(toServer, frame);
        if (replacement == null) {
          return;
        }
        for (byte[] bytes : replacement) {
          out.write(bytes);
        }
      }
    } catch (IOException e) {
      return;
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "frame-proxy");
    thread.setDaemon(true);
    thread.start();
  }
}

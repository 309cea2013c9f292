package org.masticspread.platform.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** A loopback server that answers each request with the same text and closes the connection. */
final class CannedServer implements AutoCloseable {
  private static final String ID_HEADER = Protocol.CALL_ID + ": ";

  private final ServerSocket listener;
  private final String answer;
  private final AtomicInteger requests = new AtomicInteger();

  CannedServer(String answer) throws IOException {
    this.answer = answer;
    this.listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::serve, "canned");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  int requests() {
    return requests.get();
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }

  private void serve() {
    while (!listener.isClosed()) {
      try (Socket socket = listener.accept()) {
        serve(socket);
      } catch (IOException e) {
        continue;
      }
    }
  }

  private void serve(Socket socket) throws IOException {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    String id = "";
    int length = 0;
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      String lower = line.toLowerCase(Locale.ROOT);
      id = lower.startsWith(ID_HEADER) ? line.substring(ID_HEADER.length()) : id;
      length =
          lower.startsWith("content-length: ") ? Integer.parseInt(lower.substring(16)) : length;
    }
    for (int i = 0; i < length; i++) {
      in.read();
    }
    requests.incrementAndGet();
    String body = answer.contains("\n\n") ? answer.split("\n\n", 2)[1].replace("{id}", id) : "";
    String text = answer.replace("{id}", id).replace("{n}", Integer.toString(body.length()));
    String head = text.split("\n\n", 2)[0].replace("\n", "\r\n") + "\r\n\r\n";
    socket.getOutputStream().write((head + body).getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }
}

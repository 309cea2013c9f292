package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that sends all its requests over one connection, one after another. */
final class RawClient implements AutoCloseable {
  private final Socket socket = new Socket();
  private final InputStream in;

  RawClient(String address) throws IOException {
    int colon = address.indexOf(':');
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(4000);
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        1000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request and returns the status and the body of the next answer. */
  String call(String method, String path, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: " + Vms.HOST
            + "\r\nContent-Type: application/json\r\nDeadline-Ms: 3000\r\nContent-Length: "
            + bytes.length + "\r\n\r\n";
    byte[] request = new byte[head.length() + bytes.length];
    System.arraycopy(head.getBytes(StandardCharsets.UTF_8), 0, request, 0, head.length());
    System.arraycopy(bytes, 0, request, head.length(), bytes.length);
    socket.getOutputStream().write(request);
    String status = line();
    int length = 0;
    for (String header = line(); !header.isEmpty(); header = line()) {
      if (header.toLowerCase().startsWith("content-length:")) {
        length = Integer.parseInt(header.substring(15).trim());
      }
    }
    String text = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    return status.split(" ")[1] + " " + text;
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new IOException("the connection was closed");
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}

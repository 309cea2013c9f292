package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP server for the stand-ins, on a loopback address. */
final class Http {
  static final ObjectMapper JSON = new ObjectMapper();

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  /** An answer; status 0 closes the connection without an answer. */
  record Answer(int status, JsonNode body) {}

  /** Handles a request; it may block. */
  interface Handler {
    Answer handle(String method, String path, String query, HttpExchange exchange, JsonNode body)
        throws Exception;
  }

  /** Listens on a free port of an address and returns the port. */
  static int serve(String ip, int port, Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 1024);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> answer(exchange, handler));
    server.start();
    return server.getAddress().getPort();
  }

  private static void answer(HttpExchange exchange, Handler handler) {
    try {
      byte[] body = exchange.getRequestBody().readAllBytes();
      JsonNode json =
          body.length == 0 ? JSON.createObjectNode() : JSON.readTree(body);
      Answer answer =
          handler.handle(
              exchange.getRequestMethod(),
              exchange.getRequestURI().getPath(),
              exchange.getRequestURI().getRawQuery(),
              exchange,
              json);
      if (answer.status == 0) {
        exchange.close();
        return;
      }
      byte[] bytes =
          answer.body == null
              ? new byte[0]
              : answer.body.toString().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
      if (bytes.length > 0) {
        try (OutputStream out = exchange.getResponseBody()) {
          out.write(bytes);
        }
      }
      exchange.close();
    } catch (Exception e) {
      exchange.close();
    }
  }
}

package org.masticspread.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.codec.Mappers;
import org.masticspread.ctl.client.AuditTrail;
import org.masticspread.ctl.client.Problems;
import org.masticspread.ctl.client.Result;
import org.masticspread.model.config.AuditEntry;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.ResultCode;

/** A fake node on the loopback interface that stores a configuration and sends prepared replies. */
final class FakeNode implements AutoCloseable {
  /** A reply; a body shorter than the declared length simulates a truncated answer. */
  record Reply(int status, byte[] body, int declaredLength) {
    static final Reply LOST = new Reply(0, new byte[0], 0);

    static Reply of(int status, Object body) throws IOException {
      byte[] bytes =
          body instanceof String text
              ? text.getBytes(StandardCharsets.UTF_8)
              : Mappers.json().writeValueAsBytes(body);
      return new Reply(status, bytes, bytes.length);
    }

    static Reply of(ResultCode code, String team, String id) throws IOException {
      return of(code.httpStatus(), Result.of(code, team, id, "prepared reply"));
    }
  }

  /** A received call. */
  record Call(String method, String path, String authorization, JsonNode body) {}

  final List<Call> calls = new ArrayList<>();
  Configuration configuration = Configuration.EMPTY;
  Runnable beforePut = () -> {};
  private final List<AuditEntry> audit = new ArrayList<>();
  private final Map<String, Deque<Reply>> replies = new HashMap<>();
  private final HttpServer server;

  FakeNode() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::handle);
    server.start();
  }

  String url() {
    return "http://127.0.0.1:" + server.getAddress().getPort();
  }

  FakeNode reply(String methodAndPath, Reply reply) {
    replies.computeIfAbsent(methodAndPath, k -> new ArrayDeque<>()).add(reply);
    return this;
  }

  void apply(Configuration next, String who, String what) {
    long revision = configuration.revision() + 1;
    Instant at = Instant.parse("2026-12-04T10:00:00Z");
    audit.add(0, new AuditEntry(revision, at, who, what, "", "{}"));
    configuration = next.withRevision(revision);
  }

  private void handle(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().toString();
    byte[] body = exchange.getRequestBody().readAllBytes();
    JsonNode tree = body.length == 0 ? null : Mappers.json().readTree(body);
    String token = exchange.getRequestHeaders().getFirst("Authorization");
    calls.add(new Call(exchange.getRequestMethod(), path, token, tree));
    Reply reply = replyTo(exchange.getRequestMethod() + " " + path, body);
    if (reply != Reply.LOST) {
      exchange.sendResponseHeaders(reply.status(), reply.declaredLength());
      exchange.getResponseBody().write(reply.body());
    }
    exchange.close();
  }

  private Reply replyTo(String call, byte[] body) throws IOException {
    Deque<Reply> prepared = replies.get(call);
    if (prepared != null) {
      return prepared.size() > 1 ? prepared.poll() : prepared.peek();
    }
    return switch (call.replaceFirst("\\?.*", "")) {
      case "GET /v1/config" -> Reply.of(200, configuration);
      case "GET /v1/audit" -> Reply.of(200, new AuditTrail(audit));
      case "POST /v1/config/validate" -> Reply.of(200, new Problems(List.of()));
      case "PUT /v1/config" -> put(Mappers.json().readTree(body));
      default -> Reply.of(ResultCode.NOT_FOUND, null, null);
    };
  }

  private Reply put(JsonNode change) throws IOException {
    beforePut.run();
    if (change.get("expectedRevision").asLong() != configuration.revision()) {
      return Reply.of(ResultCode.CONFLICT, null, null);
    }
    Configuration next =
        Mappers.json().treeToValue(change.get("configuration"), Configuration.class);
    apply(next, "second", change.get("what").asText());
    return Reply.of(200, Map.of("revision", configuration.revision()));
  }

  @Override
  public void close() {
    server.stop(0);
  }
}

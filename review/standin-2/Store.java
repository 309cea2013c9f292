package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: rows, transactions, reads and feeds, as PROTOCOL.md describes them. */
final class Store {
  private static final int ROW_BYTES = 65536;
  private static final int MAX_ENTRIES = 100;
  private static final int MAX_CALL_BYTES = 1_000_000;
  private static final int MAX_READ_ROWS = 500;
  private static final long TXN_MILLIS = 5;

  /** What the store does with calls. */
  enum Mode {
    UP,
    /** Answers 503 to every call. */
    BUSY
  }

  private record Name(String table, String part, String key) implements Comparable<Name> {
    @Override
    public int compareTo(Name o) {
      int c = table.compareTo(o.table);
      c = c != 0 ? c : part.compareTo(o.part);
      return c != 0 ? c : key.compareTo(o.key);
    }
  }

  private record Row(Name name, String value, long version, boolean deleted) {}

  private final Record record;
  private final Map<Name, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final Map<String, Object> partLocks = new HashMap<>();
  private long version;
  private volatile Mode mode = Mode.UP;
  private final int port;
  private long tooLarge;

  Store(Record record) throws IOException {
    this.record = record;
    this.port = Http.serve("127.0.0.1", 0, this::handle);
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  void mode(Mode next) {
    mode = next;
    record.line("store " + next);
    synchronized (this) {
      notifyAll();
    }
  }

  synchronized long tooLarge() {
    return tooLarge;
  }

  /** Writes a row as the operator or an executor does. Fails while the store is down. */
  synchronized boolean write(String table, String key, JsonNode value) {
    if (mode == Mode.BUSY) {
      return false;
    }
    version++;
    String text =
        Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8));
    put(new Name(table, "", key), text, false);
    notifyAll();
    return true;
  }

  /** Returns the name of the VM that last wrote the row of the leader; empty if none has. */
  synchronized String leader(List<String> vms) {
    for (Row row : rows.values()) {
      if (row.name.table.equals("leader")) {
        String text =
            new String(Base64.getDecoder().decode(row.value), StandardCharsets.ISO_8859_1);
        for (String vm : vms) {
          if (text.contains(vm)) {
            return vm;
          }
        }
      }
    }
    return "";
  }

  private Http.Answer handle(
      String method, String path, String query, HttpExchange exchange, JsonNode body)
      throws Exception {
    if (mode == Mode.BUSY) {
      return new Http.Answer(503, null);
    }
    switch (path) {
      case "/-/rows-tx":
        return transact(body);
      case "/-/rows-get":
        return read(params(query));
      case "/-/rows-feed":
        return feed(params(query));
      default:
        return new Http.Answer(404, null);
    }
  }

  private Http.Answer transact(JsonNode body) throws InterruptedException {
    int entries =
        body.path("expect_rev").size() + body.path("upserts").size() + body.path("remove").size();
    if (entries > MAX_ENTRIES || body.toString().length() > MAX_CALL_BYTES) {
      return refused("call", body.toString().length());
    }
    String part = "";
    for (JsonNode put : body.path("upserts")) {
      part = put.path("part").asText();
      int bytes = Base64.getDecoder().decode(put.path("value").asText()).length;
      if (bytes > ROW_BYTES) {
        return refused(put.path("table").asText() + "/" + put.path("key").asText(), bytes);
      }
    }
    return apply(body, part);
  }

  private Http.Answer apply(JsonNode body, String part) throws InterruptedException {
    Object lock;
    synchronized (this) {
      lock = partLocks.computeIfAbsent(part, p -> new Object());
    }
    synchronized (lock) {
      Thread.sleep(TXN_MILLIS);
      synchronized (this) {
        boolean match = true;
        ObjectNode conflict = answer();
        ArrayNode current = conflict.putArray("rows");
        for (JsonNode expected : body.path("expect_rev")) {
          Row row = rows.get(name(expected));
          match &= (row == null ? 0 : row.version) == expected.path("ver").asLong();
          if (row != null) {
            current.add(json(row));
          }
        }
        if (!match) {
          return new Http.Answer(412, conflict);
        }
        version++;
        body.path("upserts").forEach(p -> put(name(p), p.path("value").asText(), false));
        body.path("remove").forEach(p -> put(name(p), "", true));
        notifyAll();
        return new Http.Answer(200, answer());
      }
    }
  }

  private synchronized Http.Answer refused(String what, int bytes) {
    tooLarge++;
    if (tooLarge <= 3 || tooLarge % 50 == 0) {
      record.line("store answers 400: too large: " + what + " " + bytes + " bytes");
    }
    return new Http.Answer(400, null);
  }

  private static Name name(JsonNode json) {
    return new Name(
        json.path("table").asText(), json.path("part").asText(), json.path("key").asText());
  }

  private void put(Name name, String value, boolean deleted) {
    Row row = new Row(name, value, version, deleted);
    if (deleted) {
      rows.remove(name);
    } else {
      rows.put(name, row);
    }
    history.add(row);
  }

  private synchronized Http.Answer read(Map<String, String> query) {
    ObjectNode answer = answer();
    ArrayNode found = answer.putArray("rows");
    int limit = Math.min(MAX_READ_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
    boolean more = false;
    int bytes = 0;
    for (Row row : rows.values()) {
      boolean wanted =
          row.name.table.equals(query.getOrDefault("table", ""))
              && row.name.part.equals(query.getOrDefault("part", ""))
              && row.name.key.compareTo(query.getOrDefault("from", "")) >= 0;
      if (!wanted) {
        continue;
      }
      if (found.size() >= limit || bytes > MAX_CALL_BYTES) {
        more = true;
        break;
      }
      bytes += row.value.length();
      found.add(json(row));
    }
    return new Http.Answer(200, answer.put("has_more", more));
  }

  private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long until = Record.now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    String table = query.getOrDefault("table", "");
    while (true) {
      if (mode == Mode.BUSY) {
        return new Http.Answer(503, null);
      }
      ObjectNode answer = answer();
      ArrayNode changes = answer.putArray("rows");
      for (Row row : history) {
        if (row.version > after && row.name.table.equals(table)) {
          changes.add(json(row));
        }
      }
      long left = until - Record.now();
      if (changes.size() > 0 || left <= 0) {
        return new Http.Answer(200, answer);
      }
      wait(left);
    }
  }

  private ObjectNode answer() {
    return Http.JSON.createObjectNode().put("ver", version).put("now_ms", Record.now());
  }

  private static ObjectNode json(Row row) {
    ObjectNode json =
        Http.JSON
            .createObjectNode()
            .put("table", row.name.table)
            .put("part", row.name.part)
            .put("key", row.name.key)
            .put("ver", row.version);
    return row.deleted ? json.put("deleted", true) : json.put("value", row.value);
  }

  private static Map<String, String> params(String query) {
    Map<String, String> params = new HashMap<>();
    for (String pair : (query == null ? "" : query).split("&")) {
      int eq = pair.indexOf('=');
      if (eq > 0) {
        params.put(
            pair.substring(0, eq),
            URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
      }
    }
    return params;
  }
}

import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A small deployment on loopback: the store, the workers, the VM processes of the deploy file, and
 * a client. The stand-ins follow PROTOCOL.md.
 */
final class Rig implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  static final String HOST = "desk.example";
  static final String PREFIX = "/jobs/";
  static final int ROW_BYTES = 65_536;
  static final int MAX_HOLD_MS = 10_000;
  static final int STOP_GRACE_MS = 400;
  static final int LASTING_STARTUP_MS = 300;

  /** Each run has loopback addresses of its own, as the port for metrics is fixed. */
  private final String subnet =
      "127." + (1 + ProcessHandle.current().pid() / 250 % 250) + "."
          + ProcessHandle.current().pid() % 250 + ".";

  private static final ExecutorService POOL =
      Executors.newCachedThreadPool(
          action -> {
            Thread thread = new Thread(action);
            thread.setDaemon(true);
            return thread;
          });

  final boolean trouble;
  final Path temp;
  final long startNanos = System.nanoTime();
  final Store store;
  final List<Worker> workers = new ArrayList<>();
  final List<Vm> vms = new ArrayList<>();
  private final List<Vm> started = new ArrayList<>();
  private final BufferedWriter record;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1000))
          .executor(POOL)
          .build();

  /**
   * Starts the store.
   *
   * @param args the path of the record, and 0 to run without the disruption
   * @param storeLatencyMs the time that a call to the store takes
   */
  Rig(String[] args, int storeLatencyMs) throws IOException {
    trouble = !args[1].equals("0");
    temp = Files.createTempDirectory("rig");
    record = Files.newBufferedWriter(Path.of(args[0]));
    store = new Store(storeLatencyMs);
    Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    log("rig", "trouble " + trouble);
  }

  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  void log(String who, String what) {
    String line = String.format("%7.3f %s %s", now() / 1000.0, who, what);
    synchronized (record) {
      try {
        record.write(line);
        record.newLine();
        record.flush();
      } catch (IOException e) {
        System.err.println(line);
      }
    }
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  /** A handler of one HTTP call. */
  interface Handler {
    void handle(HttpExchange exchange, byte[] body) throws IOException;
  }

  static HttpServer serve(Handler handler) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1024);
    server.setExecutor(POOL);
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange, exchange.getRequestBody().readAllBytes());
          } catch (RuntimeException e) {
            e.printStackTrace();
            reply(exchange, 400, object().put("error", String.valueOf(e)));
          } finally {
            exchange.close();
          }
        });
    server.start();
    return server;
  }

  static void reply(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    for (String part : (raw == null ? "" : raw).split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        values.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  /** The platform's store. */
  final class Store {
    private record Row(
        String table, String part, String key, String value, long ver, boolean deleted) {}

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Row> history = new ArrayList<>();
    private final int latencyMs;
    private final HttpServer server;
    private long ver;
    final Map<String, Integer> outcomes = new TreeMap<>();

    Store(int latencyMs) throws IOException {
      this.latencyMs = latencyMs;
      server = serve(this::handle);
    }

    String address() {
      return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static String name(String table, String part, String key) {
      return table + "\0" + part + "\0" + key;
    }

    private static String name(JsonNode row) {
      return name(row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
    }

    synchronized void write(String table, String key, JsonNode value) {
      ver++;
      byte[] bytes = value.toString().getBytes(StandardCharsets.UTF_8);
      put(new Row(table, "", key, java.util.Base64.getEncoder().encodeToString(bytes), ver, false));
      notifyAll();
    }

    synchronized void remove(String table, String key) {
      ver++;
      put(new Row(table, "", key, "", ver, true));
      notifyAll();
    }

    private void put(Row row) {
      String name = name(row.table, row.part, row.key);
      if (row.deleted) {
        rows.remove(name);
      } else {
        rows.put(name, row);
      }
      history.add(row);
    }

    /** Returns the text of a row, as far as its bytes are ASCII. */
    synchronized String text(String table, String part, String key) {
      Row row = rows.get(name(table, part, key));
      byte[] bytes = row == null ? new byte[0] : java.util.Base64.getDecoder().decode(row.value);
      return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private ObjectNode answer() {
      return object().put("ver", ver).put("now_ms", System.nanoTime() / 1_000_000);
    }

    private static ObjectNode json(Row row) {
      ObjectNode json =
          object().put("table", row.table).put("part", row.part).put("key", row.key);
      json.put("ver", row.ver);
      return row.deleted ? json.put("deleted", true) : json.put("value", row.value);
    }

    private void handle(HttpExchange exchange, byte[] body) throws IOException {
      switch (exchange.getRequestURI().getPath()) {
        case "/-/rows-tx" -> transact(exchange, JSON.readTree(body), body.length);
        case "/-/rows-get" -> read(exchange, query(exchange));
        case "/-/rows-feed" -> feed(exchange, query(exchange));
        default -> reply(exchange, 404, object());
      }
    }

    private void transact(HttpExchange exchange, JsonNode call, int bytes) throws IOException {
      sleep(latencyMs);
      ObjectNode answer;
      int status;
      synchronized (this) {
        String refusal = refusal(call, bytes);
        if (!refusal.isEmpty()) {
          status = 400;
          answer = answer().put("error", refusal);
          if (outcomes.merge(refusal, 1, Integer::sum) % 50 == 1) {
            log("store", "refuses a transaction: " + refusal);
          }
        } else if (matches(call)) {
          status = 200;
          ver++;
          for (JsonNode put : call.path("upserts")) {
            put(row(put, put.path("value").asText(), false));
          }
          for (JsonNode removed : call.path("remove")) {
            put(row(removed, "", true));
          }
          answer = answer();
          notifyAll();
        } else {
          status = 412;
          answer = answer();
          ArrayNode current = answer.putArray("rows");
          for (JsonNode expected : call.path("expect_rev")) {
            Row row = rows.get(name(expected));
            if (row != null) {
              current.add(json(row));
            }
          }
        }
      }
      reply(exchange, status, answer);
    }

    private Row row(JsonNode json, String value, boolean deleted) {
      return new Row(
          json.path("table").asText(),
          json.path("part").asText(),
          json.path("key").asText(),
          value,
          ver,
          deleted);
    }

    private String refusal(JsonNode call, int bytes) {
      int entries =
          call.path("expect_rev").size() + call.path("upserts").size() + call.path("remove").size();
      if (entries > 100 || bytes > 1 << 20) {
        return "more than 100 entries or 1 MB";
      }
      for (JsonNode put : call.path("upserts")) {
        int size = java.util.Base64.getDecoder().decode(put.path("value").asText()).length;
        if (size > ROW_BYTES) {
          return "a row of table " + put.path("table").asText() + " is over row_bytes";
        }
      }
      return "";
    }

    private boolean matches(JsonNode call) {
      for (JsonNode expected : call.path("expect_rev")) {
        Row row = rows.get(name(expected));
        if ((row == null ? 0 : row.ver) != expected.path("ver").asLong()) {
          return false;
        }
      }
      return true;
    }

    private void read(HttpExchange exchange, Map<String, String> query) throws IOException {
      sleep(latencyMs);
      ObjectNode answer;
      synchronized (this) {
        answer = answer();
        ArrayNode found = answer.putArray("rows");
        String table = query.get("table");
        String part = query.getOrDefault("part", "");
        int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
        boolean more = false;
        long bytes = 0;
        for (Row row : rows.tailMap(name(table, part, query.getOrDefault("from", ""))).values()) {
          if (!row.table.equals(table) || !row.part.equals(part)) {
            break;
          }
          if (found.size() >= limit || bytes > 1 << 20) {
            more = true;
            break;
          }
          bytes += row.value.length();
          found.add(json(row));
        }
        answer.put("has_more", more);
      }
      reply(exchange, 200, answer);
    }

    private void feed(HttpExchange exchange, Map<String, String> query) throws IOException {
      sleep(latencyMs);
      long after = Long.parseLong(query.get("after"));
      long until = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
      ObjectNode answer;
      synchronized (this) {
        while (true) {
          answer = answer();
          ArrayNode changed = answer.putArray("rows");
          for (int i = firstAfter(after); i < history.size(); i++) {
            if (history.get(i).table.equals(query.get("table"))) {
              changed.add(json(history.get(i)));
            }
          }
          long left = (until - System.nanoTime()) / 1_000_000;
          if (!changed.isEmpty() || left <= 0) {
            break;
          }
          try {
            wait(left);
          } catch (InterruptedException e) {
            throw new IOException(e);
          }
        }
      }
      reply(exchange, 200, answer);
    }

    private int firstAfter(long after) {
      int low = 0;
      int high = history.size();
      while (low < high) {
        int middle = (low + high) / 2;
        if (history.get(middle).ver > after) {
          high = middle;
        } else {
          low = middle + 1;
        }
      }
      return low;
    }
  }

  /** Returns how long a run works, in ms; negative for one that fails after that time. */
  interface Duties {
    long workMillis(String task, long run, String spec);
  }

  /** An executor. */
  final class Worker {
    final String id;
    private final int number;
    private final HttpServer server;
    private final Duties duties;
    private final int checkpointMs;
    private final int cpu;
    private final long born = System.currentTimeMillis();
    private final long bornNanos = System.nanoTime();
    final Map<String, Run> running = new TreeMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private final List<ArrayNode> ends = new ArrayList<>();
    private long lastEnd;

    /** The last end before a moment at which the lease had lapsed. */
    private long lapsedSeq;

    private long token;
    private long leaseUntil;
    boolean down;

    /** Whether it closes each connection after one answer. */
    volatile boolean closes;

    int starts;
    int done;
    int lapsed;
    int stopped;
    long acknowledged;

    final class Run {
      final String task;
      final long number;
      final String base;
      final long workMs;
      final long since = clock();
      /** Whether it lasts: then its percent is 100 after a short startup. */
      final boolean lasts;

      Run(String task, long number, String base, long workMs, boolean lasts) {
        this.lasts = lasts;
        this.task = task;
        this.number = number;
        this.base = base;
        this.workMs = workMs;
      }

      String saved() {
        long steps = checkpointMs == 0 ? 0 : (clock() - since) / checkpointMs;
        return steps == 0 ? base : String.format("%08x%08x", steps, task.hashCode());
      }

      int percent() {
        if (lasts) {
          return clock() - since >= LASTING_STARTUP_MS ? 100 : 0;
        }
        return (int) Math.min(100, 100 * (clock() - since) / Math.max(1, Math.abs(workMs)));
      }
    }

    Worker(int number, int cpu, int checkpointMs, Duties duties) throws IOException {
      this.number = number;
      id = "i-" + String.format("%08x", 0x7f3a9100 + number);
      this.cpu = cpu;
      this.duties = duties;
      this.checkpointMs = checkpointMs;
      server = serve(this::handle);
      POOL.execute(this::live);
      store.write("servers", id, entry());
    }

    private ObjectNode entry() {
      ObjectNode entry =
          object()
              .put("service", "desk")
              .put("address", "127.0.0.1:" + server.getAddress().getPort())
              .put("zone", "a")
              .put("version", "v1")
              .put("slots", 8)
              .put("state", "ready")
              .put("cold_left_ms", 0)
              .put("clock_ms", clock())
              .put("born", born)
              .put("seq", 1);
      entry.putObject("capacity").put("cpu", cpu).put("mem_mb", 131_072).put("gpus", 0);
      entry.putArray("labels").add(number % 3 == 0 ? "b" : "a").add("r" + number / 8);
      return entry;
    }

    private long clock() {
      return 1000 + (System.nanoTime() - bornNanos) / 1_000_000;
    }

    private void live() {
      while (true) {
        sleep(10);
        synchronized (this) {
          boolean lease = clock() <= leaseUntil;
          if (!lease) {
            lapsedSeq = lastEnd;
          }
          for (Run run : List.copyOf(running.values())) {
            if (!lease) {
              end(run, "lapsed");
            } else if (clock() - run.since >= Math.abs(run.workMs)) {
              end(run, run.workMs < 0 ? "failed" : "done");
            }
          }
        }
      }
    }

    private void end(Run run, String how) {
      running.remove(run.task);
      done += how.equals("done") ? 1 : 0;
      if (how.equals("done")) {
        doneTasks
            .computeIfAbsent(
                jobOf(run.task), job -> java.util.concurrent.ConcurrentHashMap.newKeySet())
            .add(run.task);
      }
      lapsed += how.equals("lapsed") ? 1 : 0;
      stopped += how.equals("stopped") ? 1 : 0;
      ArrayNode row = JSON.createArrayNode();
      row.add(++lastEnd).add(run.task).add(run.number).add(how).add(run.saved());
      ends.add(row);
      audit.ended(this, run.task, how);
      if (!quiet(run.task)) {
        log(id, "ends " + run.task + " run " + run.number + " " + how + " seq " + lastEnd);
      }
      notifyAll();
    }

    private void handle(HttpExchange exchange, byte[] body) throws IOException {
      String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
      exchange.getResponseHeaders().set("Instance-Id", id);
      if (closes) {
        exchange.getResponseHeaders().set("Connection", "close");
      }
      if (expected != null && !expected.equals(id)) {
        reply(exchange, 421, object());
        return;
      }
      switch (exchange.getRequestURI().getPath()) {
        case "/health" -> reply(exchange, 200, object());
        case "/-/run-start" -> start(exchange, JSON.readTree(body));
        case "/-/run-stop" -> stop(exchange, JSON.readTree(body));
        case "/-/hold" -> hold(exchange, JSON.readTree(body));
        default -> reply(exchange, 404, object());
      }
    }

    private boolean fenced(JsonNode call) {
      long given = call.path("fencing_token").asLong();
      if (given < token) {
        return true;
      }
      token = given;
      return false;
    }

    private void lease(JsonNode call) {
      if (call.has("deadline_ms")) {
        long until = Math.min(call.path("deadline_ms").asLong(), clock() + MAX_HOLD_MS);
        leaseUntil = Math.max(leaseUntil, until);
      }
    }

    private void start(HttpExchange exchange, JsonNode call) throws IOException {
      String reason = "";
      synchronized (this) {
        String task = call.path("task").asText();
        long number = call.path("run_id").asLong();
        Run present = running.get(task);
        if (fenced(call)) {
          reason = "fence";
        } else if (call.path("deadline_ms").asLong() < clock()) {
          reason = "late";
        } else if (present == null || present.number != number) {
          lease(call);
          if (present != null || number <= highest.getOrDefault(task, 0L)) {
            reason = "old";
          } else {
            starts++;
            audit.started(this, task, number, call.path("spec").asText());
            highest.put(task, number);
            long workMs = duties.workMillis(task, number, call.path("spec").asText());
            running.put(task, new Run(task, number, call.path("checkpoint").asText(""), workMs, lasting.contains(jobOf(task))));
            if (!quiet(task)) {
              log(id, "starts " + task + " run " + number + " token " + token);
            }
          }
        }
      }
      ObjectNode answer = object().put("clock_ms", clock()).put("born", born);
      if (!reason.isEmpty()) {
        log(id, "refuses " + call.path("task").asText() + " " + reason);
        reply(exchange, 409, answer.put("reason", reason));
      } else {
        reply(exchange, 200, answer);
      }
    }

    private void stop(HttpExchange exchange, JsonNode call) throws IOException {
      boolean refused;
      synchronized (this) {
        refused = fenced(call);
        if (!refused) {
          String task = call.path("task").asText();
          Run run = running.get(task);
          highest.merge(task, call.path("run_id").asLong(), Math::max);
          if (run != null && run.number == call.path("run_id").asLong()) {
            end(run, "stopped");
          }
        }
      }
      ObjectNode answer = object().put("clock_ms", clock()).put("born", born);
      reply(exchange, refused ? 409 : 200, refused ? answer.put("reason", "fence") : answer);
    }

    private void hold(HttpExchange exchange, JsonNode call) throws IOException {
      ObjectNode answer = object();
      int status = 200;
      synchronized (this) {
        if (fenced(call)) {
          status = 409;
          answer.put("reason", "fence");
        } else {
          lease(call);
          long acked = call.path("acked_seq").asLong();
          acknowledged = Math.max(acknowledged, acked);
          for (ArrayNode row : ends) {
            if (row.get(0).asLong() <= acked && row.get(3).asText().equals("done")) {
              audit.noted(this, row.get(1).asText(), row.get(0).asLong() <= lapsedSeq);
            }
          }
          ends.removeIf(row -> row.get(0).asLong() <= acked);
          long until = System.nanoTime() + call.path("wait_ms").asLong() * 1_000_000;
          long left = (until - System.nanoTime()) / 1_000_000;
          while (ends.isEmpty() && left > 0) {
            try {
              wait(left);
            } catch (InterruptedException e) {
              throw new IOException(e);
            }
            left = (until - System.nanoTime()) / 1_000_000;
          }
          ArrayNode now = answer.putArray("running");
          for (Run run : running.values()) {
            now.addArray()
                .add(run.task)
                .add(run.number)
                .add(run.saved())
                .add(run.percent())
                .add(0);
          }
          ArrayNode finished = answer.putArray("finished");
          ends.stream().limit(500).forEach(finished::add);
        }
        answer.put("clock_ms", clock()).put("born", born);
      }
      reply(exchange, status, answer);
    }

    /** Reports that it drains, serves until all its tasks have ended, and leaves. */
    void drain(long millis) {
      POOL.execute(
          () -> {
            store.write("servers", id, entry().put("state", "draining").put("remaining_ms", millis));
            log(id, "drains");
            sleep(millis);
            while (!idle()) {
              sleep(20);
            }
            synchronized (this) {
              down = true;
            }
            store.remove("servers", id);
            server.stop(0);
            log(id, "has left");
          });
    }

    private synchronized boolean idle() {
      return running.isEmpty() && ends.isEmpty();
    }

    /** Ends for good; the registry entry is removed after three heartbeat intervals. */
    void crash() {
      synchronized (this) {
        down = true;
        running.clear();
      }
      server.stop(0);
      log(id, "crashes for good");
      POOL.execute(
          () -> {
            sleep(3 * 1500);
            store.remove("servers", id);
          });
    }

    synchronized boolean runs(String task) {
      return running.containsKey(task);
    }

    synchronized int unacknowledged() {
      return ends.size();
    }
  }

  /** Jobs whose starts are counted but not logged one by one. */
  final java.util.Set<String> quietJobs = java.util.concurrent.ConcurrentHashMap.newKeySet();

  /** Checks the orders that executors carry out against the rules. */
  final Audit audit = new Audit();

  /** What was sent and run, as the rules TWICE, ORDER and ROUTE need it. */
  final class Audit {
    private final Map<String, JsonNode> jobs = new HashMap<>();
    private final Map<String, Worker> running = new HashMap<>();
    private final Map<String, List<long[]>> unnoted = new HashMap<>();
    private final java.util.Set<String> noted = new java.util.HashSet<>();
    final List<String> broken = new ArrayList<>();

    synchronized void sent(String id, JsonNode job) {
      jobs.put(id, job);
    }

    private static String escaped(String text) {
      StringBuilder escaped = new StringBuilder();
      text.chars()
          .forEach(c -> escaped.append(c < 128 ? "" + (char) c : String.format("\\u%04x", c)));
      return escaped.toString();
    }

    private void broken(String text) {
      broken.add(text);
      log("audit", text);
    }

    synchronized void started(Worker worker, String task, long run, String spec) {
      String[] parts = task.split("\\.");
      JsonNode job = jobs.get(parts[0]);
      if (job == null) {
        return;
      }
      if (!spec.equals(job.path("spec").asText())) {
        broken(
            "UNASKED: " + task + " starts with spec " + escaped(spec) + ", sent was "
                + escaped(job.path("spec").asText()));
      }
      JsonNode step = job.path("steps").path(Integer.parseInt(parts[2]));
      Worker other = running.put(task, worker);
      if (other != null && other != worker && !other.down) {
        broken("TWICE: " + task + " run " + run + " starts while it runs on " + other.id);
      }
      if (noted.contains(task)) {
        broken("TWICE: " + task + " run " + run + " starts after its end done was noted");
      }
      for (long[] end : unnoted.getOrDefault(task, List.of())) {
        end[0]++;
      }
      String prefix = parts[0] + "." + parts[1] + ".";
      for (JsonNode before : step.path("after")) {
        int count = job.path("steps").path(before.asInt()).path("count").asInt();
        for (int i = 0; i < count; i++) {
          if (!doneTasks.getOrDefault(parts[0], java.util.Set.of())
              .contains(prefix + before.asInt() + "." + i)) {
            broken("ORDER: " + task + " starts before " + prefix + before.asInt() + "." + i);
          }
        }
      }
      if (job.path("repetitions").asInt() > 0) {
        long due =
            job.path("start_at_ms").asLong()
                + Long.parseLong(parts[1]) * job.path("interval_ms").asLong();
        if (System.currentTimeMillis() < due - 250) {
          broken("ORDER: " + task + " starts early");
        }
      }
      int max = step.path("max_per_server").asInt();
      String name = prefix + parts[2] + ".";
      long same = worker.running.keySet().stream().filter(t -> t.startsWith(name)).count();
      if (max > 0 && same >= max) {
        broken("ROUTE: " + task + " starts beyond max_per_server on " + worker.id);
      }
    }

    synchronized void ended(Worker worker, String task, String how) {
      running.remove(task, worker);
      if (how.equals("done")) {
        unnoted.computeIfAbsent(task, t -> new ArrayList<>()).add(new long[] {0, worker.lastEnd});
      }
    }

    synchronized void noted(Worker worker, String task, boolean excused) {
      List<long[]> ends = unnoted.remove(task);
      if (excused || ends == null) {
        return;
      }
      noted.add(task);
      if (ends.get(0)[0] > 0) {
        broken("TWICE: " + task + " was started after an end done that is now noted");
      }
    }
  }

  /** The tasks of each job that have ended done. */
  private final Map<String, java.util.Set<String>> doneTasks =
      new java.util.concurrent.ConcurrentHashMap<>();

  int done(String job) {
    return doneTasks.getOrDefault(job, java.util.Set.of()).size();
  }

  /** Counts the tasks of a job that run. */
  int running(String job) {
    int count = 0;
    for (Worker worker : workers) {
      synchronized (worker) {
        count += (int) worker.running.keySet().stream().filter(t -> jobOf(t).equals(job)).count();
      }
    }
    return count;
  }

  /** Returns the thousandths of cores in use, if each task uses as many as given. */
  int usedCpu(int perTask) {
    int count = 0;
    for (Worker worker : workers) {
      synchronized (worker) {
        count += perTask * worker.running.size();
      }
    }
    return count;
  }

  int unacknowledged() {
    return workers.stream().mapToInt(Worker::unacknowledged).sum();
  }

  /** Jobs with a step that lasts. */
  final java.util.Set<String> lasting = java.util.concurrent.ConcurrentHashMap.newKeySet();

  private static String jobOf(String task) {
    return task.substring(0, task.indexOf('.'));
  }

  private boolean quiet(String task) {
    return quietJobs.contains(jobOf(task));
  }

  /** Records every two seconds what the quiet jobs run. */
  void recordQuietJobs() {
    POOL.execute(
        () -> {
          while (true) {
            sleep(2000);
            for (String job : new java.util.TreeSet<>(quietJobs)) {
              if (running(job) + done(job) > 0) {
                log("executors", job + " runs " + running(job) + ", done " + done(job));
              }
            }
          }
        });
  }

  /** Returns an address of this run at which nobody listens. */
  String unusedAddress(int number) {
    return subnet + 200 + ":" + (7000 + number);
  }

  /** Writes a registry entry that no executor of the rig stands behind. */
  void register(String id, String service, String address) {
    ObjectNode entry =
        object()
            .put("service", service)
            .put("address", address)
            .put("zone", "a")
            .put("version", "v1")
            .put("slots", 8)
            .put("state", "ready")
            .put("cold_left_ms", 0)
            .put("clock_ms", 1000)
            .put("born", System.currentTimeMillis())
            .put("seq", 1);
    entry.putObject("capacity").put("cpu", 16_000).put("mem_mb", 131_072).put("gpus", 0);
    entry.putArray("labels").add("a").add("r1");
    store.write("servers", id, entry);
    log("store", "another writer writes servers/" + id + " of service " + service);
  }

  void addWorkers(int count, int cpu, int checkpointMs, Duties duties) throws IOException {
    for (int i = 0; i < count; i++) {
      workers.add(new Worker(workers.size(), cpu, checkpointMs, duties));
    }
  }

  /** Writes the configuration with one queue that needs no advice. */
  void configure(long version, ObjectNode... moreRoutes) {
    ObjectNode config = object().put("version", version);
    ArrayNode routes = config.putArray("routes");
    routes.add(route("r-jobs", PREFIX));
    for (ObjectNode route : moreRoutes) {
      routes.add(route);
    }
    config
        .putArray("services")
        .addObject()
        .put("name", "desk")
        .put("health_path", "/health")
        .put("max_conns", 64)
        .put("protocol", "h1")
        .put("tls", false)
        .put("enforces_capacity", false)
        .put("standby", false);
    config
        .putObject("limits")
        .put("max_header_bytes", 16_384)
        .put("max_body_bytes", 262_144)
        .put("header_timeout_ms", 3000)
        .put("idle_timeout_ms", 15_000);
    store.write("op", "config", config);
    log("operator", "config " + version);
  }

  static ObjectNode route(String name, String prefix) {
    return object()
        .put("name", name)
        .put("host", HOST)
        .put("path_prefix", prefix)
        .put("kind", "non_idempotent")
        .put("timeout_ms", 3000)
        .put("target_duration_ms", 3000)
        .put("priority", 0)
        .put("service", "desk")
        .put("max_attempts", 4)
        .put("stretch", 4.0);
  }

  /** A VM as the deploy file starts it. */
  final class Vm {
    final String name;
    final String ip;
    final String front;
    final String ready;
    private final Path settings;
    private final Path output;
    Process process;

    Vm(String name, String ip, int port, double cores) throws IOException {
      this.name = name;
      this.ip = ip;
      this.front = ip + ":" + port;
      this.ready = ip + ":" + (port + 1);
      settings = temp.resolve(name + ".yaml");
      output = temp.resolve(name + ".log");
      ObjectNode root =
          object()
              .put("node", name)
              .put("role", "vm")
              .put("machine_class", "front")
              .put("ip", ip)
              .put("zone", "a")
              .put("region", "r")
              .put("bootstrap", true)
              .put("discovery", "platform")
              .put("heartbeat_ms", 1500)
              .put("orders", "call");
      root.putObject("zones").put("a", "r");
      root.putObject("listen").put("front", front).put("ready", ready);
      root.putArray("port_range").add(port + 2).add(port + 2);
      root.putObject("limits")
          .put("cpu_share", 0.75)
          .put("cores", cores)
          .put("memory_mb", 430)
          .put("max_fds", 4200)
          .put("bandwidth_mbps", 1000.0);
      root.putObject("platform").put("address", store.address()).put("form", "table");
      root.putArray("contracts").add("base").add("drain").add("config").add("sched");
      root.putObject("bounds")
          .put("stability_ms", 3000)
          .put("ack_timeout_ms", 4000)
          .put("drain_timeout_ms", 2000)
          .put("grace_s", 6)
          .put("config_apply_ms", 2000)
          .put("max_hold_ms", MAX_HOLD_MS)
          .put("stop_grace_ms", STOP_GRACE_MS)
          .put("gang_timeout_ms", 3000)
          .put("cancel_ms", 3000)
          .put("visible_ms", 3000)
          .put("finish_s", 14)
          .put("status_s", 120)
          .put("slowdown_factor", 1.5)
          .put("checkpoint_s", 0.5)
          .put("restore_ms", 600)
          .put("notice_ms", 4500);
      Files.writeString(settings, root.toString());
    }

    /** Starts the process by the run line of the deploy file. */
    void start() throws IOException {
      String run = "";
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        if (line.startsWith("run = ")) {
          run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
      }
      ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.split(" +")));
      Map<String, String> environment = builder.environment();
      environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      environment.put("MASTICSPREAD_BOOT", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
      process = builder.start();
      log(name, "process started");
      process.onExit().thenAccept(ended -> log(name, "process ended, code " + ended.exitValue()));
    }

    void signal(String signal) throws IOException {
      log(name, "gets SIG" + signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
    }

    boolean isReady() {
      return call("GET", ready, "/-/ready", null, 1000).status == 200;
    }
  }

  Vm addVm(double cores) throws IOException {
    int number = vms.size() + 1;
    Vm vm = new Vm("front-a-" + number, subnet + (10 + number), freePort3(), cores);
    vms.add(vm);
    started.add(vm);
    vm.start();
    return vm;
  }

  /** Returns the first of three free ports in a row. */
  private static int freePort3() throws IOException {
    while (true) {
      int port = freePort();
      if (port > 60_000) {
        continue;
      }
      try (ServerSocket second = new ServerSocket(port + 1);
          ServerSocket third = new ServerSocket(port + 2)) {
        return Math.min(second.getLocalPort(), third.getLocalPort()) - 1;
      } catch (IOException e) {
        // Taken meanwhile.
      }
    }
  }

  /** Returns the VM that the leader row names. */
  Vm leader() {
    String row = store.text("leader", "main", "leader");
    return vms.stream().filter(vm -> row.contains(vm.name)).findFirst().orElse(null);
  }

  void awaitReady(long millis) {
    long until = now() + millis;
    while (now() < until) {
      if (vms.stream().allMatch(Vm::isReady)) {
        log("rig", "all VMs are ready");
        return;
      }
      sleep(100);
    }
    cannotRun("not all VMs got ready");
  }

  record Answer(int status, String body, long tookMs) {
    JsonNode json() {
      try {
        return JSON.readTree(body);
      } catch (IOException e) {
        return object();
      }
    }
  }

  /** Makes a call; status 0 stands for no answer. */
  Answer call(String method, String address, String path, JsonNode body, int timeoutMs) {
    long start = now();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(timeoutMs))
            .header("Host", HOST)
            .header("Deadline-Ms", Integer.toString(timeoutMs));
    if (body == null) {
      request.method(method, HttpRequest.BodyPublishers.noBody());
    } else {
      request
          .header("Content-Type", "application/json")
          .method(method, HttpRequest.BodyPublishers.ofString(ascii(body)));
    }
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body(), now() - start);
    } catch (IOException e) {
      return new Answer(0, String.valueOf(e), now() - start);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Writes characters beyond ASCII as escapes, as many clients do. */
  private static String ascii(JsonNode body) {
    try {
      return JSON.writer().with(JsonWriteFeature.ESCAPE_NON_ASCII.mappedFeature())
          .writeValueAsString(body);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Calls with retries at the VMs in turn, as a client does after no answer, 502 and 504, and after
   * a refusal if wanted.
   */
  Answer retried(String method, String path, JsonNode body, int attempts, boolean afterRefusal) {
    Answer answer = null;
    for (int i = 0; i < attempts; i++) {
      Vm vm = vms.get((int) Math.floorMod(path.hashCode() + (long) i, (long) vms.size()));
      answer = call(method, vm.front, path, body, 3000);
      boolean refused = answer.status == 429 || answer.status == 503;
      if (answer.status != 0 && answer.status < 500 && !refused) {
        return answer;
      }
      if (refused && !afterRefusal) {
        return answer;
      }
      sleep(300);
    }
    return answer;
  }

  static ObjectNode step(int count, int cpu, int memMb, int estimateMs) {
    return object()
        .put("count", count)
        .put("cpu", cpu)
        .put("mem_mb", memMb)
        .put("estimate_ms", estimateMs);
  }

  static ObjectNode job(String spec, ObjectNode... steps) {
    ObjectNode job = object().put("spec", spec);
    ArrayNode array = job.putArray("steps");
    for (ObjectNode step : steps) {
      array.add(step);
    }
    return job;
  }

  static String id(int number) {
    return String.format("%016x", 0x5c0e7a21d94b0000L + number);
  }

  void cannotRun(String reason) {
    log("rig", "cannot run: " + reason);
    System.out.println("cannot run: " + reason);
    kill();
    Runtime.getRuntime().halt(2);
  }

  /** Ends the script: 1 if the rule is broken, else 0. */
  void finish(List<String> broken) {
    for (String line : broken) {
      log("rig", "BROKEN " + line);
      System.out.println("broken: " + line);
    }
    log("rig", broken.isEmpty() ? "the rule held" : "the rule is broken");
    kill();
    Runtime.getRuntime().halt(broken.isEmpty() ? 0 : 1);
  }

  private void kill() {
    started.forEach(vm -> vm.process.destroyForcibly());
    if (System.getenv("RIG_KEEP") == null) {
      started.forEach(vm -> delete(vm.settings, vm.output));
      delete(temp);
    }
  }

  private static void delete(Path... files) {
    for (Path file : files) {
      try {
        Files.deleteIfExists(file);
      } catch (IOException e) {
        // Left to the system's cleanup.
      }
    }
  }

  @Override
  public void close() {
    kill();
  }
}

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback for the review: a stand-in store, stand-in executors, a client, and
 * VMs started with the commands of the deploy file.
 */
final class Rig implements AutoCloseable {
  static final ObjectMapper JSON = new ObjectMapper();
  private static final int METRICS_PORT = 9464;
  static final int MAX_HOLD_MS = 10_000;
  static final int STOP_GRACE_MS = 400;
  static final int ROW_BYTES = 65_536;
  static final int TXN_LATENCY_MS = 5;

  /** The third byte of the VMs' own addresses; VM number i sees the others at addresses with i. */
  private static final int OWN_NET = 9;

  final long startNanos = System.nanoTime();
  private final String network;
  private ServerSocket networkLock;
  final Store store;
  final Map<String, Executor> executors = new LinkedHashMap<>();
  final List<Vm> vms = new ArrayList<>();
  private final PrintWriter record;
  private final Path directory;
  private final List<HttpServer> servers = new ArrayList<>();
  private final List<Link> links = new ArrayList<>();
  private volatile boolean closing;
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4);

  Rig(Path recordFile, int executorCount, int vmCount) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    directory = Files.createTempDirectory("review-");
    // Also ends the VMs if the script's time limit ends this process.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> vms.forEach(Vm::kill)));
    store = new Store();
    for (int i = 1; i <= executorCount; i++) {
      Executor executor = new Executor("i-" + i, "r-" + (1 + (i - 1) / 8));
      executors.put(executor.id, executor);
      executor.register();
    }
    // The port of the metrics is fixed, so each VM has a loopback address of its own.
    network = reserveNetwork();
    for (int i = 1; i <= vmCount; i++) {
      vms.add(new Vm(i, network + OWN_NET + "." + (10 + i)));
    }
    for (Vm from : vms) {
      for (Vm to : vms) {
        if (from != to) {
          from.toVms.put(
              to.name,
              new Link(
                  new InetSocketAddress(to.viewedFrom(from), to.peerPort),
                  new InetSocketAddress(to.ip, to.peerPort)));
        }
      }
      for (Executor executor : executors.values()) {
        from.toExecutors.put(
            executor.id, new Link(new InetSocketAddress("127.0.0.1", 0), executor.bound));
      }
    }
  }

  /** Maps 0, 1 and 2 to codes that no failure of the Java launcher has; run.sh maps them back. */
  static int exitCode(int code) {
    return 40 + code;
  }

  /** Reserves a loopback network that no other rig on this machine uses. */
  private String reserveNetwork() throws IOException {
    for (int i = 0; i < 200; i++) {
      String candidate = "127." + (20 + (int) (Math.random() * 200)) + ".";
      try {
        InetAddress address = InetAddress.getByName(candidate + OWN_NET + ".1");
        networkLock = new ServerSocket(METRICS_PORT - 1, 1, address);
        return candidate;
      } catch (IOException e) {
        // In use; try another one.
      }
    }
    throw new IOException("no loopback network is free");
  }

  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void log(String text) {
    record.printf("%7d ms  %s%n", now(), text);
  }

  /** Waits until the condition holds; returns whether it did in time. */
  boolean await(long millis, BooleanSupplier condition) throws InterruptedException {
    long until = now() + millis;
    while (now() < until) {
      if (condition.getAsBoolean()) {
        return true;
      }
      Thread.sleep(20);
    }
    return condition.getAsBoolean();
  }

  /** Starts the VMs; returns whether all of them got ready. */
  boolean startVms() throws IOException, InterruptedException {
    for (Vm vm : vms) {
      vm.start();
    }
    return await(30_000, () -> vms.stream().allMatch(Vm::ready));
  }

  /** Counts the events of a name in the logs of all VMs. */
  int eventCount(String event) throws IOException {
    int count = 0;
    for (Vm vm : vms) {
      count += vm.events(event).size();
    }
    return count;
  }

  /** Returns the VM, other than the given one, that logged the event with the highest epoch. */
  Vm lastWith(String event, Vm except) throws IOException {
    Vm last = null;
    long highest = 0;
    for (Vm vm : vms) {
      for (String line : vm.events(event)) {
        long epoch = JSON.readTree(line).path("epoch").asLong();
        if (vm != except && epoch > highest) {
          highest = epoch;
          last = vm;
        }
      }
    }
    return last;
  }

  /** Returns the VM that won the leadership last, by the logs; null if none did. */
  Vm leader() throws IOException {
    return lastWith("cell-loaded", null);
  }

  @Override
  public void close() {
    closing = true;
    vms.forEach(Vm::kill);
    links.forEach(Link::close);
    servers.forEach(server -> server.stop(0));
    timers.shutdownNow();
    record.close();
    try {
      networkLock.close();
      try (var files = Files.list(directory)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(directory);
    } catch (IOException e) {
      e.printStackTrace();
    }
  }

  // --- HTTP -------------------------------------------------------------------------------------

  interface Handler {
    void handle(HttpExchange exchange, byte[] body) throws Exception;
  }

  private InetSocketAddress serve(Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext(
        "/",
        exchange -> {
          try {
            handler.handle(exchange, exchange.getRequestBody().readAllBytes());
          } catch (Exception e) {
            if (!closing && !(e instanceof IOException)) {
              log("stand-in error " + e);
            }
            exchange.close();
          }
        });
    server.start();
    servers.add(server);
    return server.getAddress();
  }

  static void reply(HttpExchange exchange, int status, JsonNode body) throws IOException {
    byte[] bytes = JSON.writeValueAsBytes(body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  static ObjectNode object() {
    return JSON.createObjectNode();
  }

  record Answer(int status, String body) {}

  /** Sends a client's request on a connection of its own; status 0 if there was no answer. */
  Answer call(Vm vm, String method, String host, String path, String body, int timeoutMillis) {
    long sent = now();
    Answer answer = callQuietly(vm.front, method, host, path, body, timeoutMillis);
    log(
        "client "
            + method
            + " "
            + path
            + " at "
            + vm.name
            + " -> "
            + (answer.status == 0 ? "no answer" : answer.status + " " + answer.body)
            + " after "
            + (now() - sent)
            + " ms");
    return answer;
  }

  private static Answer callQuietly(
      InetSocketAddress to, String method, String host, String path, String body, int timeout) {
    try (Socket socket = new Socket()) {
      socket.connect(to, timeout);
      socket.setSoTimeout(timeout);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n"
              + "Deadline-Ms: " + timeout + "\r\nContent-Type: application/json\r\n"
              + "Content-Length: " + bytes.length + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      InputStream in = socket.getInputStream();
      byte[] buffer = new byte[8192];
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        all.write(buffer, 0, n);
      }
      String text = all.toString(StandardCharsets.UTF_8);
      int end = text.indexOf("\r\n\r\n");
      if (end < 0) {
        return new Answer(0, "");
      }
      return new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4));
    } catch (IOException e) {
      return new Answer(0, "");
    }
  }

  // --- VMs --------------------------------------------------------------------------------------

  /** A VM, started by the {@code run} line of the deploy file. */
  final class Vm {
    final String name;
    final String ip;
    final int peerPort;
    final InetSocketAddress front;
    final Link toStore;
    final Map<String, Link> toVms = new HashMap<>();
    final Map<String, Link> toExecutors = new HashMap<>();
    private final int number;
    private final InetSocketAddress ready;
    private final Path settings;
    private Process process;

    Vm(int number, String ip) throws IOException {
      this.name = "front-" + number;
      this.number = number;
      this.ip = ip;
      this.peerPort = freePort(ip);
      this.toStore = new Link(new InetSocketAddress("127.0.0.1", 0), store.viewOf(this));
      String storeAddress = toStore.address();
      this.front = new InetSocketAddress(ip, freePort(ip));
      this.ready = new InetSocketAddress(ip, freePort(ip));
      ObjectNode root = object();
      root.put("node", name).put("role", "vm").put("machine_class", "front").put("ip", ip);
      root.put("zone", "z1").put("region", "r1");
      root.putObject("listen")
          .put("front", ip + ":" + front.getPort())
          .put("ready", ip + ":" + ready.getPort());
      root.putArray("port_range").add(peerPort).add(peerPort + 15);
      root.putObject("limits").put("cpu_share", 0.75).put("cores", 1).put("memory_mb", 430)
          .put("bandwidth_mbps", 1000.0);
      root.putObject("platform").put("address", storeAddress).put("form", "table")
          .put("row_bytes", ROW_BYTES).put("txn_latency_ms", TXN_LATENCY_MS);
      root.putObject("bounds").put("max_hold_ms", MAX_HOLD_MS).put("stop_grace_ms", STOP_GRACE_MS)
          .put("gang_timeout_ms", 3000).put("status_s", 120).put("slowdown_factor", 1.5)
          .put("notice_ms", 4500).put("grace_s", 6);
      settings = directory.resolve(name + ".yaml");
      Files.write(settings, JSON.writeValueAsBytes(root)); // JSON is valid YAML.
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(runCommand()).redirectErrorStream(true);
      builder.environment().put("MASTICSPREAD_BOOT", settings.toString());
      builder.redirectOutput(directory.resolve(name + ".log").toFile());
      process = builder.start();
      log(name + " started");
    }

    /** The address at which another VM sees this one. */
    String viewedFrom(Vm other) {
      return network + other.number + "." + (10 + number);
    }

    /** Cuts this VM off from the store and from all other VMs, or ends that. */
    void cutOff(boolean cut) {
      toStore.cut(cut);
      toVms.values().forEach(link -> link.cut(cut));
      for (Vm other : vms) {
        if (other != this) {
          other.toVms.get(name).cut(cut);
        }
      }
      log(name + (cut ? " is cut off from the store and the other VMs" : " is connected again"));
    }

    boolean ready() {
      return callQuietly(ready, "GET", "ready", "/-/ready", "", 1000).status == 200;
    }

    /** Sends a signal to the process of this VM. */
    void signal(String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
      log(name + " gets SIG" + signal);
    }

    boolean alive() {
      return process != null && process.isAlive();
    }

    void kill() {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }

    /** The events of the VM's log whose names are given. */
    List<String> events(String... names) throws IOException {
      List<String> found = new ArrayList<>();
      for (String line : Files.readAllLines(directory.resolve(name + ".log"))) {
        if (Arrays.stream(names).anyMatch(n -> line.contains("\"event\":\"" + n + "\""))) {
          found.add(line);
        }
      }
      return found;
    }
  }

  private static List<String> runCommand() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no run line");
    }
    return List.of(run.group(1).split(" "));
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  // --- Links ------------------------------------------------------------------------------------

  /**
   * A TCP proxy. While it is cut, it holds all bytes and lets new connections hang; when the cut
   * ends, the connections that were open are lost with the bytes that were held.
   */
  final class Link {
    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    Link(InetSocketAddress listen, InetSocketAddress target) throws IOException {
      this.target = target;
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(listen, 256);
      links.add(this);
      background(this::acceptAll);
    }

    String address() {
      return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    void cut(boolean value) {
      cut = value;
      if (!value) {
        closeAll();
      }
    }

    private void closeAll() {
      for (Socket socket : sockets) {
        try {
          socket.close();
        } catch (IOException e) {
          // It is closed.
        }
      }
      sockets.clear();
    }

    private void acceptAll() throws Exception {
      while (!listener.isClosed()) {
        Socket client = listener.accept();
        sockets.add(client);
        background(() -> connect(client));
      }
    }

    private void connect(Socket client) throws Exception {
      awaitPass();
      if (client.isClosed()) {
        return;
      }
      Socket server = new Socket();
      sockets.add(server);
      try {
        server.connect(target, 1000);
      } catch (IOException e) {
        client.close();
        return;
      }
      client.setTcpNoDelay(true);
      server.setTcpNoDelay(true);
      background(() -> pump(client, server));
      pump(server, client);
    }

    private void pump(Socket from, Socket to) throws Exception {
      byte[] buffer = new byte[16_384];
      try {
        for (int n = from.getInputStream().read(buffer); n >= 0; ) {
          awaitPass();
          to.getOutputStream().write(buffer, 0, n);
          n = from.getInputStream().read(buffer);
        }
        awaitPass();
      } finally {
        from.close();
        to.close();
        sockets.remove(from);
        sockets.remove(to);
      }
    }

    private void awaitPass() throws InterruptedException {
      while (cut) {
        Thread.sleep(5);
      }
    }

    private void close() {
      cut = false;
      closeAll();
      try {
        listener.close();
      } catch (IOException e) {
        // It is closed.
      }
    }
  }

  private interface Work {
    void run() throws Exception;
  }

  private static void background(Work work) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                work.run();
              } catch (Exception e) {
                // The connection is lost.
              }
            },
            "link",
            256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  // --- The store --------------------------------------------------------------------------------

  /** The platform's store: rows in memory, linearizable, with its limits on rows and calls. */
  final class Store {
    private final TreeMap<List<String>, ObjectNode> rows =
        new TreeMap<>(
            (a, b) -> {
              for (int i = 0; i < 3; i++) {
                int c = a.get(i).compareTo(b.get(i));
                if (c != 0) {
                  return c;
                }
              }
              return 0;
            });
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<String, Object> partLocks = new HashMap<>();
    private long version;
    private int tooLarge;

    /** Serves the store to one VM, which sees the others and the executors through its links. */
    InetSocketAddress viewOf(Vm vm) throws IOException {
      return serve((exchange, body) -> handle(vm, exchange, body));
    }

    /** Replaces addresses in a row by those of the VM's links. */
    private ObjectNode viewed(Vm vm, ObjectNode row) {
      String table = row.path("table").asText();
      if (!row.has("value") || !(table.equals("vms") || table.equals("servers"))) {
        return row;
      }
      byte[] value = Base64.getDecoder().decode(row.path("value").asText());
      String text = new String(value, StandardCharsets.ISO_8859_1);
      if (table.equals("vms")) {
        // An address has the same length in all views, so that the encoding of the row still holds.
        for (Vm other : vms) {
          if (other != vm) {
            text = text.replace(other.ip + ":", other.viewedFrom(vm) + ":");
          }
        }
      } else {
        String id = row.path("key").asText();
        text = text.replace(executors.get(id).address, vm.toExecutors.get(id).address());
      }
      byte[] changed = text.getBytes(StandardCharsets.ISO_8859_1);
      return row.deepCopy().put("value", Base64.getEncoder().encodeToString(changed));
    }

    /** Writes a row of the operator or of an executor. */
    synchronized void write(String table, String key, JsonNode value) {
      version++;
      try {
        put(table, "", key, Base64.getEncoder().encodeToString(JSON.writeValueAsBytes(value)));
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      notifyAll();
    }

    synchronized int refusedAsTooLarge() {
      return tooLarge;
    }

    private void put(String table, String part, String key, String value) {
      ObjectNode row = object().put("table", table).put("part", part).put("key", key);
      row.put("ver", version);
      if (value == null) {
        rows.remove(List.of(table, part, key));
        row.put("deleted", true);
      } else {
        row.put("value", value);
        rows.put(List.of(table, part, key), row);
      }
      history.add(row);
    }

    private void handle(Vm vm, HttpExchange exchange, byte[] body) throws Exception {
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      switch (exchange.getRequestURI().getPath()) {
        case "/-/rows-tx" -> transact(exchange, JSON.readTree(body));
        case "/-/rows-get" -> read(vm, exchange, query);
        case "/-/rows-feed" -> feed(vm, exchange, query);
        default -> reply(exchange, 404, object());
      }
    }

    private void transact(HttpExchange exchange, JsonNode call) throws Exception {
      String part = null;
      int entries = 0;
      for (String kind : List.of("expect_rev", "upserts", "remove")) {
        for (JsonNode row : call.path(kind)) {
          entries++;
          String table = row.path("table").asText();
          boolean write = !kind.equals("expect_rev");
          if (write && (table.equals("op") || table.equals("servers"))) {
            reply(exchange, 403, object());
            return;
          }
          if (part != null && !part.equals(row.path("part").asText())) {
            reply(exchange, 400, object().put("error", "several parts"));
            return;
          }
          part = row.path("part").asText();
          int bytes = row.has("value") ? Base64.getDecoder().decode(row.path("value").asText()).length : 0;
          if (bytes > ROW_BYTES) {
            synchronized (this) {
              if (tooLarge++ == 0) {
                log("store: refuses a row of " + bytes + " bytes in table " + table + " (400)");
              }
            }
            reply(exchange, 400, object().put("error", "row_bytes"));
            return;
          }
        }
      }
      if (entries > 100) {
        reply(exchange, 400, object().put("error", "more than 100 entries"));
        return;
      }
      Object lock;
      synchronized (this) {
        lock = partLocks.computeIfAbsent(String.valueOf(part), name -> new Object());
      }
      int status = 200;
      ObjectNode answer = object();
      synchronized (lock) {
        Thread.sleep(TXN_LATENCY_MS);
        synchronized (this) {
          ArrayNode current = object().putArray("rows");
          boolean matches = true;
          for (JsonNode expected : call.path("expect_rev")) {
            ObjectNode row = rows.get(name(expected));
            matches &= (row == null ? 0 : row.path("ver").asLong()) == expected.path("ver").asLong();
            if (row != null) {
              current.add(row);
            }
          }
          if (matches) {
            version++;
            for (JsonNode row : call.path("upserts")) {
              put(
                  row.path("table").asText(),
                  row.path("part").asText(),
                  row.path("key").asText(),
                  row.path("value").asText());
            }
            for (JsonNode row : call.path("remove")) {
              put(
                  row.path("table").asText(),
                  row.path("part").asText(),
                  row.path("key").asText(),
                  null);
            }
            notifyAll();
          } else {
            status = 412;
            answer.set("rows", current);
          }
          answer.put("ver", version).put("now_ms", now());
        }
      }
      reply(exchange, status, answer);
    }

    private List<String> name(JsonNode row) {
      return List.of(
          row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
    }

    private void read(Vm vm, HttpExchange exchange, Map<String, String> query) throws IOException {
      int limit = Math.min(500, Integer.parseInt(query.getOrDefault("limit", "500")));
      ObjectNode answer = object();
      synchronized (this) {
        ArrayNode found = answer.putArray("rows");
        boolean more = false;
        for (ObjectNode row : rows.values()) {
          boolean wanted =
              row.path("table").asText().equals(query.getOrDefault("table", ""))
                  && row.path("part").asText().equals(query.getOrDefault("part", ""))
                  && row.path("key").asText().compareTo(query.getOrDefault("from", "")) >= 0;
          if (wanted && found.size() >= limit) {
            more = true;
          } else if (wanted) {
            found.add(viewed(vm, row));
          }
        }
        answer.put("has_more", more).put("ver", version).put("now_ms", now());
      }
      reply(exchange, 200, answer);
    }

    private void feed(Vm vm, HttpExchange exchange, Map<String, String> query) throws Exception {
      long after = Long.parseLong(query.getOrDefault("after", "0"));
      long until = now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
      ObjectNode answer = object();
      synchronized (this) {
        ArrayNode changes = answer.putArray("rows");
        while (true) {
          for (ObjectNode row : history) {
            if (row.path("ver").asLong() > after
                && row.path("table").asText().equals(query.getOrDefault("table", ""))) {
              changes.add(viewed(vm, row));
            }
          }
          long left = until - now();
          if (!changes.isEmpty() || left <= 0) {
            break;
          }
          wait(left);
        }
        answer.put("ver", version).put("now_ms", now());
      }
      reply(exchange, 200, answer);
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  // --- Executors --------------------------------------------------------------------------------

  /** One run of a task on an executor. */
  static final class Run {
    String task;
    long number;
    String executor;
    long startMillis;
    long durationMillis;
    boolean fails;
    String saved = "";

    /** The length of its checkpoints, a multiple of 16. */
    int savedLength;

    long endMillis = -1;

    /** When {@code acked_seq} reached the end; negative before that. */
    long notedMillis = -1;

    String how = "";
  }

  /** All runs that the executors began, in order. */
  final List<Run> history = new ArrayList<>();

  List<Run> runs(String prefix) {
    synchronized (history) {
      return history.stream().filter(run -> run.task.startsWith(prefix)).toList();
    }
  }

  /**
   * An executor of 16 cores. The spec of a job says what its tasks do: {@code ms=N} is their run
   * time, {@code fail_first=K} makes the first K runs of a task fail, {@code saved=N} is the length of
   * their checkpoints.
   */
  final class Executor {
    final String id;
    final String address;
    final InetSocketAddress bound;
    private final String rack;
    private long born = System.currentTimeMillis();
    private long bornNanos = System.nanoTime();
    private volatile boolean down;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private final List<ArrayNode> finished = new ArrayList<>();
    private long token;
    private long lastEnd;
    private long acked;
    private long leaseUntil;

    Executor(String id, String rack) throws IOException {
      this.id = id;
      this.rack = rack;
      this.bound = serve(this::handle);
      this.address = "127.0.0.1:" + bound.getPort();
      timers.scheduleAtFixedRate(this::tick, 50, 50, TimeUnit.MILLISECONDS);
    }

    private long clock() {
      return (System.nanoTime() - bornNanos) / 1_000_000 + 1000;
    }

    void register() {
      ObjectNode entry = object().put("service", "desk").put("address", address).put("zone", "z1");
      entry.put("version", "v1").put("slots", 8).put("state", "ready").put("cold_left_ms", 0);
      entry.putObject("capacity").put("cpu", 16_000).put("mem_mb", 32_768).put("gpus", 0);
      entry.putArray("labels").add("a").add(rack);
      entry.put("clock_ms", clock()).put("seq", 1).put("born", born);
      store.write("servers", id, entry);
    }

    /** Crashes: all runs, ends, counts and tokens are gone, and nothing is answered. */
    void crash() {
      synchronized (this) {
        down = true;
        for (Run run : running.values()) {
          run.endMillis = now();
          run.how = "crashed";
        }
        running.clear();
        finished.clear();
        highest.clear();
        token = 0;
        acked = 0;
        lastEnd = 0;
        leaseUntil = 0;
        notifyAll();
      }
      log("executor " + id + " crashes");
    }

    /** Starts again under the same id and address, with a new birth and all counts anew. */
    void restart() {
      synchronized (this) {
        born = System.currentTimeMillis();
        bornNanos = System.nanoTime();
        down = false;
      }
      register();
      log("executor " + id + " starts again under its id");
    }

    synchronized long acknowledged() {
      return acked;
    }

    synchronized long unacknowledged() {
      return lastEnd - Math.min(acked, lastEnd);
    }

    synchronized long ends() {
      return lastEnd;
    }

    synchronized int runningCount() {
      return running.size();
    }

    private synchronized void tick() {
      if (down) {
        return;
      }
      long now = clock();
      if (now >= leaseUntil) {
        List.copyOf(running.values()).forEach(run -> end(run, "lapsed"));
      }
      for (Run run : List.copyOf(running.values())) {
        long age = now() - run.startMillis;
        if (age >= 500) {
          String digits = String.format("%016x", run.number * 1_000_003 + age / 500);
          run.saved = digits.repeat(run.savedLength / digits.length());
        }
        if (age >= run.durationMillis) {
          end(run, run.fails ? "failed" : "done");
        }
      }
    }

    private void end(Run run, String how) {
      running.remove(run.task);
      run.endMillis = now();
      run.how = how;
      ArrayNode row = JSON.createArrayNode();
      row.add(++lastEnd).add(run.task).add(run.number).add(how);
      row.add(how.equals("done") ? "" : run.saved);
      if (!forgotten(row)) {
        finished.add(row);
      }
      logRun(run.task, "executor " + id + ": " + run.task + " run " + run.number + " ended " + how);
      notifyAll();
    }

    private void handle(HttpExchange exchange, byte[] body) throws Exception {
      long life = born;
      if (down) {
        exchange.close();
        return;
      }
      String path = exchange.getRequestURI().getPath();
      if (path.equals("/health")) {
        exchange.getResponseHeaders().set("Instance-Id", id);
        reply(exchange, 200, object());
        return;
      }
      JsonNode call = JSON.readTree(body);
      String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
      if (expected != null && !expected.equals(id)) {
        reply(exchange, 421, answer());
        return;
      }
      int status = 200;
      ObjectNode answer;
      synchronized (this) {
        answer = answer();
        if (call.path("fencing_token").asLong() < token) {
          status = 409;
          answer.put("reason", "fence");
        } else {
          token = call.path("fencing_token").asLong();
          if (call.has("deadline_ms")) {
            long end = Math.min(call.path("deadline_ms").asLong(), clock() + MAX_HOLD_MS);
            leaseUntil = Math.max(leaseUntil, end);
          }
          switch (path) {
            case "/-/run-start" -> status = start(call, answer);
            case "/-/run-stop" -> stop(call);
            case "/-/hold" -> hold(call, answer);
            default -> status = 404;
          }
        }
        if (down || born != life) {
          exchange.close();
          return;
        }
      }
      reply(exchange, status, answer);
    }

    private ObjectNode answer() {
      return object().put("clock_ms", clock()).put("born", born);
    }

    private int start(JsonNode call, ObjectNode answer) {
      String task = call.path("task").asText();
      long number = call.path("run_id").asLong();
      Run current = running.get(task);
      if (current != null && current.number == number) {
        return 200;
      }
      if (current != null || highest.getOrDefault(task, 0L) >= number) {
        answer.put("reason", "old");
        return 409;
      }
      if (call.path("deadline_ms").asLong() <= clock()) {
        answer.put("reason", "late");
        return 409;
      }
      highest.put(task, number);
      Map<String, String> spec = query(call.path("spec").asText().replace(';', '&'));
      Run run = new Run();
      run.task = task;
      run.number = number;
      run.executor = id;
      run.startMillis = now();
      run.durationMillis = Long.parseLong(spec.getOrDefault("ms", "500"));
      run.savedLength = Integer.parseInt(spec.getOrDefault("saved", "16"));
      synchronized (history) {
        long earlier = history.stream().filter(other -> other.task.equals(task)).count();
        run.fails = earlier < Long.parseLong(spec.getOrDefault("fail_first", "0"));
        history.add(run);
      }
      running.put(task, run);
      logRun(task, "executor " + id + ": " + task + " run " + number + " starts");
      return 200;
    }

    private void stop(JsonNode call) {
      String task = call.path("task").asText();
      long number = call.path("run_id").asLong();
      highest.merge(task, number, Math::max);
      Run run = running.get(task);
      if (run != null && run.number <= number) {
        end(run, "stopped");
      }
    }

    /** Forgets an end up to the highest acknowledged number; it counts as taken note of. */
    private boolean forgotten(ArrayNode row) {
      if (row.path(0).asLong() > acked) {
        return false;
      }
      synchronized (history) {
        for (Run run : history) {
          boolean same = run.task.equals(row.path(1).asText()) && run.executor.equals(id);
          if (same && run.number == row.path(2).asLong()) {
            run.notedMillis = now();
          }
        }
      }
      return true;
    }

    private void hold(JsonNode call, ObjectNode answer) throws InterruptedException {
      long before = acked;
      acked = Math.max(acked, call.path("acked_seq").asLong());
      if (acked > lastEnd && acked > before) {
        logRun(id, "executor " + id + ": acked_seq " + acked + ", though its last end is " + lastEnd);
      }
      finished.removeIf(this::forgotten);
      long until = now() + Math.min(2000, call.path("wait_ms").asLong());
      while (!down && finished.isEmpty() && now() < until) {
        wait(Math.max(1, until - now()));
      }
      ArrayNode runs = answer.putArray("running");
      for (Run run : running.values()) {
        long percent = Math.min(99, 100 * (now() - run.startMillis) / Math.max(1, run.durationMillis));
        runs.addArray().add(run.task).add(run.number).add(run.saved).add(percent).add(0);
      }
      ArrayNode ends = answer.putArray("finished");
      finished.stream().limit(500).forEach(ends::add);
      answer.put("clock_ms", clock());
    }
  }

  /** The tasks of jobs with this prefix are not logged one by one. */
  String quietJob = "-";

  private void logRun(String task, String text) {
    if (!task.startsWith(quietJob)) {
      log(text);
    }
  }

  // --- The operator -----------------------------------------------------------------------------

  /** Writes a configuration with routes {@code name -> prefix} to the service {@code desk}. */
  void configure(long version, int timeoutMillis, Map<String, String> routes) {
    ObjectNode config = object().put("version", version);
    ArrayNode list = config.putArray("routes");
    routes.forEach(
        (name, prefix) ->
            list.addObject()
                .put("name", name)
                .put("host", "desk.example")
                .put("path_prefix", prefix)
                .put("kind", "non_idempotent")
                .put("timeout_ms", timeoutMillis)
                .put("target_duration_ms", 3000)
                .put("priority", 1)
                .put("service", "desk")
                .put("max_attempts", 4)
                .put("stretch", 4.0));
    config.putArray("services").addObject().put("name", "desk").put("health_path", "/health")
        .put("max_conns", 64).put("protocol", "h1").put("tls", false)
        .put("enforces_capacity", false).put("standby", false);
    config.putObject("limits").put("max_header_bytes", 16_384).put("max_body_bytes", 262_144)
        .put("header_timeout_ms", 3000).put("idle_timeout_ms", 15_000);
    store.write("op", "config", config);
    log("operator: the store acknowledges configuration " + version + " with routes " + routes.keySet());
  }
}

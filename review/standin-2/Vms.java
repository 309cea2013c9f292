package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts VMs with the run line of the deploy file, and calls them as clients do. */
final class Vms implements AutoCloseable {
  private static final int METRICS_PORT = 9464;
  static final String HOST = "desk.example";

  /** A VM process and its addresses. */
  static final class Vm {
    String name;
    String front;
    String ready;
    Path settings;
    Process process;
  }

  private final Record record;
  private final Path folder;
  long maxHoldMillis = 6000;
  private final Map<String, Vm> vms = new LinkedHashMap<>();
  final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  Vms(Record record) throws IOException {
    this.record = record;
    this.folder = Files.createTempDirectory("review2");
  }

  List<Vm> all() {
    return new ArrayList<>(vms.values());
  }

  Vm start(String name, String ip, String store) throws IOException {
    Vm vm = new Vm();
    vm.name = name;
    vm.front = ip + ":" + freePort(ip);
    vm.ready = ip + ":" + freePort(ip);
    ObjectNode settings = Http.JSON.createObjectNode();
    settings.put("node", name).put("role", "vm").put("machine_class", "front").put("ip", ip);
    settings.put("zone", "local").put("region", "local").put("bootstrap", true);
    settings.putObject("listen").put("front", vm.front).put("ready", vm.ready);
    int peer = freePort(ip);
    settings.putArray("port_range").add(peer).add(peer);
    settings.putObject("limits").put("cpu_share", 1.0).put("cores", 1).put("memory_mb", 430);
    settings.put("heartbeat_ms", 1500);
    settings
        .putObject("bounds")
        .put("max_hold_ms", maxHoldMillis)
        .put("grace_s", 6)
        .put("stop_grace_ms", 900)
        .put("gang_timeout_ms", 3000)
        .put("status_s", 120)
        .put("slowdown_factor", 1.5)
        .put("notice_ms", 4500);
    settings.putObject("platform").put("address", store).put("form", "table");
    vm.settings = folder.resolve(name + ".yaml");
    Files.writeString(vm.settings, settings.toString());
    vms.put(name, vm);
    launch(vm);
    return vm;
  }

  void launch(Vm vm) throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("no run line in the deploy file");
    }
    ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("MASTICSPREAD_BOOT", vm.settings.toString());
    builder.redirectErrorStream(true);
    File log = new File(folder.toFile(), vm.name + ".log");
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    vm.process = builder.start();
    record.line("vm " + vm.name + " started, log " + log.getName());
  }

  Path log(Vm vm) {
    return folder.resolve(vm.name + ".log");
  }

  /** Kills the process of a VM and waits until it has gone. */
  void kill(Vm vm) throws InterruptedException {
    vm.process.destroyForcibly();
    vm.process.waitFor();
    record.line("vm " + vm.name + " killed");
  }

  /** Waits until every VM is ready; returns false if they are not in time. */
  boolean awaitReady(long millis) throws InterruptedException {
    long until = Record.now() + millis;
    while (Record.now() < until) {
      if (vms.values().stream().allMatch(this::ready)) {
        record.line("all vms ready");
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  private boolean ready(Vm vm) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + vm.ready + "/-/ready"))
              .timeout(Duration.ofSeconds(1))
              .build();
      return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
    } catch (IOException | InterruptedException e) {
      return false;
    }
  }

  /** Calls a VM; returns the status and the body, or 0 if there was no answer. */
  String call(Vm vm, String method, String path, String body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + vm.front + path))
            .method(
                method,
                body.isEmpty()
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .header("Content-Type", "application/json")
            .header("Host", HOST)
            .header("Deadline-Ms", "3000")
            .timeout(Duration.ofSeconds(4))
            .build();
    try {
      HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
      return answer.statusCode() + " " + answer.body();
    } catch (IOException | InterruptedException e) {
      return "0 " + e;
    }
  }

  /** Returns a loopback address at which the fixed port of the metrics is free. */
  static String freeIp() throws IOException {
    for (int attempt = 0; attempt < 100; attempt++) {
      Random random = new Random();
      String ip =
          "127." + (1 + random.nextInt(250)) + "." + random.nextInt(250) + "."
              + (1 + random.nextInt(250));
      try (ServerSocket socket = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(ip))) {
        return ip;
      } catch (IOException e) {
        continue;
      }
    }
    throw new IOException("no free address");
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  @Override
  public synchronized void close() {
    for (Vm vm : vms.values()) {
      vm.process.destroyForcibly();
    }
    for (Vm vm : vms.values()) {
      try {
        vm.process.waitFor();
        if (!Boolean.getBoolean("keep")) {
          Files.deleteIfExists(log(vm));
        }
        Files.deleteIfExists(vm.settings);
      } catch (IOException | InterruptedException e) {
        record.line("cleaning up: " + e);
      }
    }
    if (!Boolean.getBoolean("keep")) {
      folder.toFile().delete();
    }
  }
}

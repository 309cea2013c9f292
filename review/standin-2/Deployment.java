package review2;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A small deployment: a store, executors that register themselves, an operator, and VMs. */
final class Deployment implements AutoCloseable {
  static final String PREFIX = "/jobs/";
  private static final long HEARTBEAT_MILLIS = 1500;

  final Record record;
  final Store store;
  final History history = new History();
  final List<Executor> executors = new ArrayList<>();
  final Vms vms;

  Deployment(Record record) throws IOException {
    this.record = record;
    this.store = new Store(record);
    this.vms = new Vms(record);
  }

  void executor(String id, int millicores, long checkpointMillis) throws IOException {
    executor(id, millicores, checkpointMillis, 100, 6000);
  }

  void executor(
      String id, int millicores, long checkpointMillis, long restoreMillis, long maxHoldMillis)
      throws IOException {
    Executor executor =
        new Executor(
            record, history, id, millicores, checkpointMillis, restoreMillis, maxHoldMillis);
    executors.add(executor);
    Thread thread =
        new Thread(
            () -> {
              for (long seq = 1; ; seq++) {
                store.write("servers", id, executor.registryEntry(seq));
                try {
                  Thread.sleep(HEARTBEAT_MILLIS);
                } catch (InterruptedException e) {
                  return;
                }
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  void configure(long version, int maxAttempts, long targetMillis) {
    configure(version, maxAttempts, targetMillis, List.of(PREFIX));
  }

  /** Writes a configuration with one route for each path prefix. */
  void configure(long version, int maxAttempts, long targetMillis, List<String> prefixes) {
    ObjectNode config = Http.JSON.createObjectNode().put("version", version);
    ArrayNode routes = config.putArray("routes");
    for (String prefix : prefixes) {
      routes
          .addObject()
          .put("name", "r-" + prefix.replace("/", ""))
          .put("host", Vms.HOST)
          .put("path_prefix", prefix)
          .put("kind", "non_idempotent")
          .put("timeout_ms", 3000)
          .put("target_duration_ms", targetMillis)
          .put("priority", 1)
          .put("service", "desk")
          .put("max_attempts", maxAttempts)
          .put("stretch", 4.0);
    }
    config
        .putArray("services")
        .addObject()
        .put("name", "desk")
        .put("health_path", "/health")
        .put("max_conns", 64)
        .put("enforces_capacity", false);
    config.putObject("limits").put("max_body_bytes", 262_144).put("idle_timeout_ms", 15_000);
    boolean written = store.write("op", "config", config);
    record.line("configuration " + version + " with " + prefixes + " written: " + written);
  }

  void vms(int count) throws IOException {
    for (int i = 1; i <= count; i++) {
      vms.start("vm-" + i, Vms.freeIp(), store.address());
    }
  }

  /** Submits a job until it is accepted or refused for good; returns whether it was accepted. */
  boolean submit(String id, int tasks, int cpu, long millis, boolean checkpoints)
      throws InterruptedException {
    history.job(id, cpu, checkpoints);
    ObjectNode body = Http.JSON.createObjectNode().put("spec", Long.toString(millis));
    ObjectNode step = body.putArray("steps").addObject();
    step.put("count", tasks).put("cpu", cpu).put("mem_mb", 16).put("estimate_ms", millis);
    if (checkpoints) {
      step.put("checkpoints", true);
    }
    for (int attempt = 0; attempt < 8; attempt++) {
      Vms.Vm vm = vms.all().get(Math.floorMod(id.hashCode() + attempt, vms.all().size()));
      String answer = vms.call(vm, "POST", PREFIX + id, body.toString());
      record.line("POST " + id + " tasks " + tasks + " at " + vm.name + " -> " + answer);
      if (answer.startsWith("200")) {
        return true;
      }
      Thread.sleep(500);
    }
    return false;
  }

  /** Submits a body once at a VM chosen by the number of the call; returns the answer. */
  String post(String id, int cpu, boolean checkpoints, String body, int call) {
    history.job(id, cpu, checkpoints);
    Vms.Vm vm = vms.all().get(Math.floorMod(call, vms.all().size()));
    String answer = vms.call(vm, "POST", PREFIX + id, body);
    record.line("POST " + id + " at " + vm.name + " -> " + answer);
    return answer;
  }

  String cancel(String id, int call) {
    Vms.Vm vm = vms.all().get(Math.floorMod(call, vms.all().size()));
    String answer = vms.call(vm, "DELETE", PREFIX + id, "");
    record.line("DELETE " + id + " at " + vm.name + " -> " + answer);
    return answer;
  }

  String state(String id) {
    Vms.Vm vm = vms.all().get(Math.floorMod(id.hashCode(), vms.all().size()));
    return vms.call(vm, "GET", PREFIX + id, "");
  }

  @Override
  public void close() {
    vms.close();
  }
}

package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * An executor as PROTOCOL.md describes it. The spec of a job is the run time of its tasks in ms.
 */
final class Executor {
  private static final int ENDS_AT_A_TIME = 500;
  private static final long SILENT_MILLIS = 10_000;

  private static final ScheduledExecutorService TIMER =
      Executors.newScheduledThreadPool(
          2,
          task -> {
            Thread thread = new Thread(task, "executor");
            thread.setDaemon(true);
            return thread;
          });

  final String id;
  final int millicores;
  private final Record record;
  private final History history;
  private final long checkpointMillis;
  private final long restoreMillis;
  private final long maxHoldMillis;
  private volatile long born = System.currentTimeMillis();
  private volatile long clockOffset = 400_000;
  private volatile boolean down;
  private volatile boolean dark;
  private volatile boolean silentHolds;
  private volatile long lastHoldMillis;
  private int life;
  private final Map<String, Integer> connections = new HashMap<>();
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final Map<String, Long> endedRuns = new HashMap<>();
  private final List<End> ends = new ArrayList<>();
  private final int port;
  private long token;
  private long lastEnd;
  private long leaseUntil;
  private long lapses;
  private int used;
  private int mostUnacked;
  private volatile boolean unhealthy;

  Executor(
      Record record,
      History history,
      String id,
      int millicores,
      long checkpointMillis,
      long restoreMillis,
      long maxHoldMillis)
      throws IOException {
    this.record = record;
    this.history = history;
    this.id = id;
    this.millicores = millicores;
    this.checkpointMillis = checkpointMillis;
    this.restoreMillis = restoreMillis;
    this.maxHoldMillis = maxHoldMillis;
    this.port = Http.serve("127.0.0.1", 0, this::handle);
    TIMER.scheduleWithFixedDelay(this::work, 10, 10, TimeUnit.MILLISECONDS);
  }

  private static final class Run {
    String task;
    long number;
    double worked;
    double work;
    double restoreLeft;
    String checkpoint = "";
    History.Entry entry;
  }

  private record End(long number, String task, long run, String how, String saved, long lapses,
      History.Entry entry) {}

  JsonNode registryEntry(long seq) {
    ObjectNode entry =
        Http.JSON
            .createObjectNode()
            .put("service", "desk")
            .put("address", "127.0.0.1:" + port)
            .put("zone", "local")
            .put("version", "v1")
            .put("slots", 8)
            .put("state", "ready")
            .put("cold_left_ms", 0)
            .put("clock_ms", clock())
            .put("born", born)
            .put("seq", seq);
    entry.putObject("capacity").put("cpu", millicores).put("mem_mb", 131072).put("gpus", 0);
    entry.putArray("labels").add("a").add("r1-1");
    return entry;
  }

  /** Returns whether a hold that waits has just arrived and nothing runs. */
  synchronized boolean holdJustArrived() {
    return running.isEmpty() && ends.isEmpty() && Record.now() - lastHoldMillis <= 5;
  }

  synchronized long lastEnd() {
    return lastEnd;
  }

  /** Is cut off, crashes behind the cut, and has started again under its id when the cut heals. */
  void reborn(long cutMillis) throws InterruptedException {
    dark = true;
    silentHolds = true;
    record.line("executor " + id + " is cut off and crashes; its last end has number " + lastEnd());
    synchronized (this) {
      life++;
    }
    crash(0);
    Thread.sleep(cutMillis);
    dark = false;
    record.line("executor " + id + " is reached again");
  }

  /** Answers 503 to starts, and does nothing for them, while it is unhealthy. */
  void unhealthy(boolean value) {
    unhealthy = value;
    record.line("executor " + id + " unhealthy " + value);
  }

  /** Crashes, and starts again under the same id after a while. */
  void crash(long downMillis) throws InterruptedException {
    down = true;
    synchronized (this) {
      record.line("executor " + id + " crashes with " + running.size() + " runs");
      running.values().forEach(run -> run.entry.ended(Record.now(), "crashed"));
      running.clear();
      endedRuns.clear();
      ends.clear();
      used = 0;
      token = 0;
      lastEnd = 0;
      leaseUntil = 0;
      notifyAll();
    }
    Thread.sleep(downMillis);
    clockOffset = 1000 - Record.now();
    born = System.currentTimeMillis();
    down = false;
    record.line("executor " + id + " is back");
  }

  /** Returns how many thousandths of a core are in use. */
  synchronized int used() {
    return used;
  }

  synchronized int running(String job) {
    int count = 0;
    for (Run run : running.values()) {
      count += run.task.startsWith(job + ".") ? 1 : 0;
    }
    return count;
  }

  synchronized int mostUnacked() {
    return mostUnacked;
  }

  private long clock() {
    return clockOffset + Record.now();
  }

  private Http.Answer handle(
      String method, String path, String query, HttpExchange exchange, JsonNode body)
      throws Exception {
    String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      return new Http.Answer(421, null);
    }
    boolean stale;
    synchronized (this) {
      Integer opened =
          connections.putIfAbsent(exchange.getRemoteAddress().toString(), life);
      stale = opened != null && opened != life;
    }
    if (dark) {
      Thread.sleep(SILENT_MILLIS);
      return new Http.Answer(0, null);
    }
    if (down || stale) {
      // A machine resets a connection that an earlier life of it had accepted.
      return new Http.Answer(0, null);
    }
    return serve(path, body);
  }

  private Http.Answer serve(String path, JsonNode body) throws InterruptedException {
    synchronized (this) {
      if (body.path("fencing_token").asLong() < token) {
        return new Http.Answer(409, clockAnswer().put("reason", "fence"));
      }
      token = body.path("fencing_token").asLong();
      switch (path) {
        case "/-/run-start":
          return start(body);
        case "/-/run-stop":
          return stop(body);
        case "/-/hold":
          return hold(body);
        default:
          return new Http.Answer(404, null);
      }
    }
  }

  private void extendLease(JsonNode body) {
    if (body.has("deadline_ms")) {
      long end = Math.min(body.path("deadline_ms").asLong(), clock() + maxHoldMillis);
      leaseUntil = Math.max(leaseUntil, end);
    }
  }

  private Http.Answer start(JsonNode body) {
    String task = body.path("task").asText();
    long number = body.path("run_id").asLong();
    int cpu = history.cpu(task);
    if (unhealthy) {
      record.line("start " + task + " run " + number + " at " + id + " -> 503");
      return new Http.Answer(503, null);
    }
    if (body.path("deadline_ms").asLong() <= clock()) {
      return new Http.Answer(409, clockAnswer().put("reason", "late"));
    }
    extendLease(body);
    Run current = running.get(task);
    if (current != null && current.number == number) {
      return new Http.Answer(200, clockAnswer());
    }
    if (current != null || endedRuns.getOrDefault(task, 0L) >= number) {
      return new Http.Answer(409, clockAnswer().put("reason", "old"));
    }
    Run run = new Run();
    run.task = task;
    run.number = number;
    run.work = Double.parseDouble(body.path("spec").asText());
    run.checkpoint = body.path("checkpoint").asText("");
    if (!run.checkpoint.isEmpty()) {
      run.worked = Long.parseLong(run.checkpoint.substring(0, 8), 16);
      run.restoreLeft = restoreMillis;
    }
    run.entry = history.started(id, task, number);
    running.put(task, run);
    used += cpu;
    if (used > millicores) {
      history.overCapacity(id, task, number, used);
    }
    return new Http.Answer(200, clockAnswer());
  }

  private Http.Answer stop(JsonNode body) {
    String task = body.path("task").asText();
    long number = body.path("run_id").asLong();
    endedRuns.merge(task, number, Math::max);
    Run run = running.get(task);
    if (run != null && run.number <= number) {
      end(run, "stopped");
    }
    return new Http.Answer(200, clockAnswer());
  }

  private Http.Answer hold(JsonNode body) throws InterruptedException {
    if (body.path("wait_ms").asLong() > 0) {
      lastHoldMillis = Record.now();
    }
    extendLease(body);
    long acked = body.path("acked_seq").asLong();
    long now = Record.now();
    ends.removeIf(
        end -> {
          if (end.number > acked) {
            return false;
          }
          end.entry.acked(now, end.lapses == lapses);
          return true;
        });
    long until = Record.now() + Math.min(2000, body.path("wait_ms").asLong());
    long last = lastEnd;
    long life = born;
    while (ends.isEmpty() && lastEnd == last && Record.now() < until && !down && born == life) {
      wait(Math.max(1, until - Record.now()));
    }
    if (down || born != life) {
      if (silentHolds) {
        // The connection of an earlier life stays silent.
        long end = Record.now() + SILENT_MILLIS;
        while (Record.now() < end) {
          wait(100);
        }
      }
      return new Http.Answer(0, null);
    }
    ObjectNode answer = clockAnswer();
    ArrayNode runs = answer.putArray("running");
    for (Run run : running.values()) {
      int percent = run.work > 0 ? (int) Math.min(99, 100 * run.worked / run.work) : 100;
      runs.addArray().add(run.task).add(run.number).add(run.checkpoint).add(percent).add(0);
    }
    ArrayNode finished = answer.putArray("finished");
    for (End end : ends) {
      if (finished.size() >= ENDS_AT_A_TIME) {
        break;
      }
      finished.addArray().add(end.number).add(end.task).add(end.run).add(end.how).add(end.saved);
    }
    return new Http.Answer(200, answer);
  }

  private ObjectNode clockAnswer() {
    return Http.JSON.createObjectNode().put("clock_ms", clock()).put("born", born);
  }

  private long lastWorkMillis = Record.now();

  private synchronized void work() {
    long now = Record.now();
    double worked = now - lastWorkMillis;
    lastWorkMillis = now;
    if (!running.isEmpty() && clock() > leaseUntil) {
      lapses++;
      record.line("executor " + id + " lease lapsed, runs " + running.size());
      List.copyOf(running.values()).forEach(run -> end(run, "lapsed"));
    }
    for (Run run : List.copyOf(running.values())) {
      if (run.restoreLeft > 0) {
        run.restoreLeft -= worked;
        continue;
      }
      double before = run.worked;
      run.worked += worked;
      if (checkpointMillis > 0
          && history.checkpoints(run.task)
          && Math.floor(run.worked / checkpointMillis) > Math.floor(before / checkpointMillis)) {
        run.checkpoint = saved(run);
      }
      if (run.work > 0 && run.worked >= run.work) {
        end(run, "done");
      }
    }
  }

  private static String saved(Run run) {
    return String.format("%08x%08x", (long) run.worked, run.task.hashCode());
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    used -= history.cpu(run.task);
    endedRuns.merge(run.task, run.number, Math::max);
    run.entry.ended(Record.now(), how);
    String saved = how.equals("stopped") && history.checkpoints(run.task) ? saved(run) : "";
    ends.add(new End(++lastEnd, run.task, run.number, how, saved, lapses, run.entry));
    mostUnacked = Math.max(mostUnacked, ends.size());
    notifyAll();
  }
}

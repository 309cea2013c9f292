import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A release to executors that close each connection after one answer. */
final class ClosingWorkers {
  private static final int EXECUTORS = 6;
  private static final long FINISH_MS = 14_000;
  private static final long IDLE_MS = 3000;

  public static void main(String[] args) throws IOException {
    Rig rig = new Rig(args, 4);
    Rig.Duties duties = (task, run, spec) -> 1000;
    rig.addWorkers(EXECUTORS, 16_000, 0, duties);
    rig.configure(7);
    for (int i = 0; i < 3; i++) {
      rig.addVm(1);
    }
    rig.awaitReady(30_000);
    List<Rig.Worker> old = List.copyOf(rig.workers);
    Map<String, Integer> accepted = new TreeMap<>();
    Map<Integer, Integer> statuses = new TreeMap<>();
    long begin = rig.now();
    int next = 0;
    int replaced = 0;
    while (rig.now() - begin < 20_000) {
      // One executor each second, the new one first.
      if (replaced < EXECUTORS && rig.now() - begin > 5000 + 1000 * replaced) {
        rig.addWorkers(1, 16_000, 0, duties);
        Rig.Worker newer = rig.workers.get(rig.workers.size() - 1);
        newer.closes = rig.trouble;
        rig.log("platform", newer.id + " replaces " + old.get(replaced).id);
        old.get(replaced++).drain(2000);
      }
      String id = Rig.id(next++);
      Rig.Answer answer =
          rig.retried(
              "POST",
              Rig.PREFIX + id,
              Rig.job("chain", Rig.step(2, 1000, 64, 1000), second(), third()),
              1,
              false);
      statuses.merge(answer.status(), 1, Integer::sum);
      rig.log("client", "POST " + id + ": " + answer.status() + " " + answer.body());
      if (answer.status() == 200) {
        accepted.put(id, 6);
      }
      Rig.sleep(250);
    }
    rig.log("client", "the traffic ends; statuses " + statuses);
    Rig.sleep(FINISH_MS);
    List<String> broken = new ArrayList<>();
    Map<String, Long> idleSince = new TreeMap<>();
    long until = rig.now() + 5000;
    while (rig.now() < until) {
      for (String id : accepted.keySet()) {
        if (rig.running(id) > 0 || rig.done(id) == accepted.get(id)) {
          idleSince.remove(id);
        } else if (rig.now() - idleSince.computeIfAbsent(id, k -> rig.now()) >= IDLE_MS) {
          idleSince.put(id, Long.MAX_VALUE / 2);
          broken.add(
              "LOST: " + id + " has " + (6 - rig.done(id)) + " tasks to run, none runs for 3 s, "
                  + rig.usedCpu(1000) / 1000 + " of 96 cores in use");
        }
      }
      Rig.sleep(20);
    }
    for (String id : accepted.keySet()) {
      Rig.Answer answer = rig.retried("GET", Rig.PREFIX + id, null, 4, true);
      rig.log("client", "GET " + id + ": " + answer.status() + " " + answer.body());
    }
    rig.finish(broken);
  }

  private static com.fasterxml.jackson.databind.node.ObjectNode second() {
    var step = Rig.step(2, 1000, 64, 1000);
    step.putArray("after").add(0);
    return step;
  }

  private static com.fasterxml.jackson.databind.node.ObjectNode third() {
    var step = Rig.step(2, 1000, 64, 1000);
    step.putArray("after").add(1);
    return step;
  }
}

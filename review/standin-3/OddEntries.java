import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Registry entries of a service that no page names, and a machine that is removed for good. */
final class OddEntries {
  private static final int EXECUTORS = 8;
  private static final int ODD_ENTRIES = 9;
  private static final long FINISH_MS = 14_000;
  private static final long IDLE_MS = 3000;

  public static void main(String[] args) throws IOException {
    Rig rig = new Rig(args, 4);
    rig.addWorkers(EXECUTORS, 16_000, 0, (task, run, spec) -> 1500);
    if (rig.trouble) {
      for (int i = 0; i < ODD_ENTRIES; i++) {
        // Nobody listens at the address.
        rig.register("p-" + i, "printing", rig.unusedAddress(i));
      }
    }
    rig.configure(7);
    for (int i = 0; i < 3; i++) {
      rig.addVm(1);
    }
    rig.awaitReady(30_000);
    Map<String, Integer> accepted = new TreeMap<>();
    long begin = rig.now();
    int next = 0;
    while (rig.now() - begin < 10_000) {
      String id = Rig.id(next++);
      Rig.Answer answer =
          rig.retried(
              "POST",
              Rig.PREFIX + id,
              Rig.job(
                  "chain",
                  Rig.step(2, 1000, 64, 1500),
                  after(Rig.step(2, 1000, 64, 1500), 0),
                  after(Rig.step(2, 1000, 64, 1500), 1)),
              4,
              false);
      rig.log("client", "POST " + id + ": " + answer.status());
      if (answer.status() == 200) {
        accepted.put(id, 6);
      }
      Rig.sleep(250);
    }
    Rig.Vm leader = rig.leader();
    rig.log("platform", leader.name + " is removed for good");
    leader.signal("KILL");
    rig.vms.remove(leader);
    rig.log("client", "the traffic ends, " + accepted.size() + " jobs accepted");
    Rig.sleep(FINISH_MS);
    List<String> broken = new ArrayList<>();
    Map<String, Long> idleSince = new TreeMap<>();
    long until = rig.now() + 6000;
    while (rig.now() < until) {
      for (String id : accepted.keySet()) {
        boolean idle = rig.running(id) == 0 && rig.done(id) < accepted.get(id);
        boolean halfFree = 2 * rig.usedCpu(1000) < EXECUTORS * 16_000;
        if (!idle || !halfFree) {
          idleSince.remove(id);
        } else if (rig.now() - idleSince.computeIfAbsent(id, k -> rig.now()) >= IDLE_MS) {
          idleSince.put(id, Long.MAX_VALUE / 2);
          broken.add(
              "LOST: " + id + " has " + (6 - rig.done(id)) + " tasks to run, none runs for 3 s, "
                  + rig.usedCpu(1000) / 1000 + " of 128 cores in use");
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

  private static com.fasterxml.jackson.databind.node.ObjectNode after(
      com.fasterxml.jackson.databind.node.ObjectNode step, int before) {
    step.putArray("after").add(before);
    return step;
  }
}

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One job of 3,000 tasks that save checkpoints, beside ordinary jobs. */
final class WideJob {
  private static final int TASKS = 3000;
  private static final int WIDE = 90_000;
  private static final long FINISH_MS = 14_000;
  private static final long IDLE_MS = 3000;

  public static void main(String[] args) throws IOException {
    Rig rig = new Rig(args, 4);
    // A task of the wide work takes 3 s to 2 min, one of an ordinary job 0.8 s.
    rig.addWorkers(
        33,
        16_000,
        500,
        (task, run, spec) ->
            spec.equals("wide") ? 3000 + Math.floorMod(task.hashCode() * 31L, 117_000) : 800);
    rig.configure(7);
    for (int i = 0; i < 3; i++) {
      rig.addVm(1);
    }
    rig.awaitReady(30_000);
    rig.recordQuietJobs();
    Map<String, Integer> wide = new TreeMap<>();
    Map<String, Integer> ordinary = new TreeMap<>();
    Map<Integer, Integer> statuses = new TreeMap<>();
    long begin = rig.now();
    int next = 0;
    while (rig.now() - begin < 55_000) {
      if (wide.isEmpty() && rig.now() - begin > 3000) {
        // Without trouble the same work comes as 30 jobs of 100 tasks.
        int jobs = rig.trouble ? 1 : 30;
        for (int i = 0; i < jobs; i++) {
          String id = Rig.id(WIDE + i);
          rig.quietJobs.add(id);
          Rig.Answer answer =
              rig.retried(
                  "POST",
                  Rig.PREFIX + id,
                  Rig.job(
                      "wide", Rig.step(TASKS / jobs, 50, 64, 60_000).put("checkpoints", true)),
                  10,
                  true);
          rig.log("client", "POST " + id + " " + TASKS / jobs + " tasks: " + answer.status());
          if (answer.status() != 200) {
            rig.cannotRun("the wide job was not accepted");
          }
          wide.put(id, TASKS / jobs);
        }
      }
      String id = Rig.id(next++);
      Rig.Answer answer =
          rig.retried(
              "POST", Rig.PREFIX + id, Rig.job("check", Rig.step(2, 1000, 64, 800)), 4, false);
      statuses.merge(answer.status(), 1, Integer::sum);
      rig.log("client", "POST " + id + ": " + answer.status() + " " + answer.body());
      if (answer.status() == 200) {
        ordinary.put(id, 2);
      }
      Rig.sleep(250);
    }
    rig.log("client", "the traffic ends; statuses of ordinary jobs " + statuses);
    Rig.sleep(FINISH_MS);
    for (String id : ordinary.keySet()) {
      Rig.Answer answer = rig.retried("GET", Rig.PREFIX + id, null, 4, true);
      rig.log("client", "GET " + id + ": " + answer.status() + " " + answer.body());
    }
    rig.log("executors", "ends not taken note of: " + rig.unacknowledged());
    rig.log("store", "refusals " + rig.store.outcomes);
    List<String> broken = new ArrayList<>();
    Map<String, Long> idleSince = new TreeMap<>();
    long until = rig.now() + 15_000;
    while (rig.now() < until && broken.isEmpty()) {
      boolean halfFree = 2 * rig.usedCpu(50) < 33 * 16_000;
      for (String id : wide.keySet()) {
        boolean idle = halfFree && rig.running(id) == 0 && rig.done(id) < wide.get(id);
        if (!idle) {
          idleSince.remove(id);
        } else if (rig.now() - idleSince.computeIfAbsent(id, k -> rig.now()) >= IDLE_MS) {
          broken.add(
              "LOST: "
                  + id
                  + " has "
                  + (wide.get(id) - rig.done(id))
                  + " tasks to run, and nothing of it runs for 3 s, with "
                  + rig.usedCpu(50) / 1000
                  + " of 528 cores in use");
        }
      }
      Rig.sleep(50);
    }
    rig.finish(broken);
  }
}

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Jobs of many tasks, which wait for executors with a label that none has, beside ordinary jobs. */
final class ManyTasks {
  private static final int STEPS = 4;
  private static final int WIDE_JOBS = 16;
  private static final int WIDE = 90_000;
  private static final long FINISH_MS = 14_000;

  public static void main(String[] args) throws IOException {
    Rig rig = new Rig(args, 4);
    int tasks = rig.trouble ? 10_000 : 10;
    rig.addWorkers(33, 16_000, 0, (task, run, spec) -> 800);
    rig.configure(7);
    for (int i = 0; i < 3; i++) {
      rig.addVm(1);
    }
    rig.awaitReady(30_000);
    List<String> accepted = new ArrayList<>();
    Map<Integer, Integer> statuses = new TreeMap<>();
    int next = 0;
    int wide = 0;
    long begin = rig.now();
    while (rig.now() - begin < 25_000) {
      if (rig.now() - begin > 5000 + 500 * wide && wide < WIDE_JOBS) {
        ObjectNode[] steps = new ObjectNode[STEPS];
        for (int s = 0; s < STEPS; s++) {
          steps[s] = Rig.step(tasks, 1, 1, 1000).put("required_label", "g");
        }
        String id = Rig.id(WIDE + wide++);
        Rig.Answer answer =
            rig.retried("POST", Rig.PREFIX + id, Rig.job("wide", steps), 1, false);
        rig.log("client", "POST " + id + " of " + STEPS * tasks + " tasks: " + answer.status());
      }
      String id = Rig.id(next++);
      Rig.Answer answer =
          rig.retried(
              "POST", Rig.PREFIX + id, Rig.job("check", Rig.step(2, 1000, 64, 800)), 1, false);
      statuses.merge(answer.status(), 1, Integer::sum);
      rig.log("client", "POST " + id + ": " + answer.status() + " " + answer.body());
      if (answer.status() == 200) {
        accepted.add(id);
      }
      Rig.sleep(200);
    }
    rig.log("client", "the traffic ends; statuses of ordinary jobs " + statuses);
    Rig.Vm leader = rig.leader();
    leader.signal("KILL");
    Rig.sleep(1000);
    leader.start();
    Rig.sleep(FINISH_MS);
    List<String> broken = new ArrayList<>();
    for (String id : List.of(accepted.get(0), accepted.get(accepted.size() - 1))) {
      Rig.Answer answer = rig.retried("GET", Rig.PREFIX + id, null, 4, true);
      rig.log("client", "GET " + id + ": " + answer.status() + " " + answer.body());
      if (answer.status() != 200) {
        broken.add("LOST: " + id + " was accepted, and gets no answer to 4 requests: " + answer);
      }
    }
    // The machines are back for longer than recovery_s.
    int served = 0;
    for (int i = 0; i < 12; i++) {
      String id = Rig.id(next++);
      Rig.Answer answer =
          rig.retried(
              "POST", Rig.PREFIX + id, Rig.job("check", Rig.step(2, 1000, 64, 800)), 1, false);
      rig.log("client", "POST " + id + ": " + answer.status() + " " + answer.body());
      served += answer.status() == 200 ? 1 : 0;
      Rig.sleep(200);
    }
    if (served < 3) {
      broken.add("RECOVER: " + served + " of 12 requests are accepted after the recovery");
    }
    rig.finish(broken);
  }
}

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A job with one long task on executors of one kind, beside ordinary jobs. */
final class LongTask {
  private static final long FINISH_MS = 14_000;
  private static final long IDLE_MS = 3000;

  public static void main(String[] args) throws IOException {
    Rig rig = new Rig(args, 4);
    int workMs = rig.trouble ? 400_000 : 100_000;
    rig.addWorkers(8, 16_000, 0, (task, run, spec) -> spec.equals("long") ? workMs : 800);
    rig.configure(7);
    for (int i = 0; i < 3; i++) {
      rig.addVm(1);
    }
    rig.awaitReady(30_000);
    String id = Rig.id(90_000);
    Rig.Answer answer =
        rig.retried(
            "POST",
            Rig.PREFIX + id,
            Rig.job("long", Rig.step(1, 4000, 64, workMs).put("required_label", "b")),
            4,
            true);
    rig.log("client", "POST " + id + " of " + workMs + " ms: " + answer.status());
    if (answer.status() != 200) {
      rig.cannotRun("the long job was not accepted");
    }
    long begin = rig.now();
    int next = 0;
    while (rig.now() - begin < 25_000) {
      String ordinary = Rig.id(next++);
      answer =
          rig.retried(
              "POST",
              Rig.PREFIX + ordinary,
              Rig.job("check", Rig.step(2, 1000, 64, 800)),
              4,
              false);
      rig.log("client", "POST " + ordinary + ": " + answer.status());
      Rig.sleep(400);
    }
    rig.log("client", "the traffic ends");
    Rig.sleep(FINISH_MS);
    answer = rig.retried("GET", Rig.PREFIX + id, null, 4, true);
    rig.log("client", "GET " + id + ": " + answer.status() + " " + answer.body());
    List<String> broken = new ArrayList<>();
    long idleSince = -1;
    long until = rig.now() + 40_000;
    while (rig.now() < until && broken.isEmpty()) {
      boolean idle = rig.running(id) == 0 && rig.done(id) == 0 && rig.usedCpu(4000) == 0;
      if (!idle) {
        idleSince = -1;
      } else if (idleSince < 0) {
        idleSince = rig.now();
      } else if (rig.now() - idleSince >= IDLE_MS) {
        broken.add("LOST: " + id + " isn't done, nothing of it runs for 3 s, all executors idle");
      }
      Rig.sleep(20);
    }
    int stopped = rig.workers.stream().mapToInt(w -> w.stopped).sum();
    rig.log("rig", "runs that were stopped: " + stopped);
    rig.finish(broken);
  }
}

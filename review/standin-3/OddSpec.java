import java.io.IOException;

/** A spec that ends in the middle of a character, as clients send it that cut a text. */
final class OddSpec {
  public static void main(String[] args) throws IOException {
    Rig rig = new Rig(args, 4);
    rig.addWorkers(8, 16_000, 0, (task, run, spec) -> 400);
    rig.configure(7);
    for (int i = 0; i < 3; i++) {
      rig.addVm(1);
    }
    rig.awaitReady(30_000);
    for (int i = 0; i < 20; i++) {
      String id = Rig.id(i);
      String text = "Order " + i + " \ud83d\ude00";
      String spec = rig.trouble ? text.substring(0, text.length() - 1) : text;
      var job = Rig.job(spec, Rig.step(2, 1000, 64, 400));
      rig.audit.sent(id, job);
      Rig.Answer answer = rig.retried("POST", Rig.PREFIX + id, job, 4, false);
      rig.log("client", "POST " + id + ": " + answer.status() + " " + answer.body());
      Rig.sleep(100);
    }
    Rig.sleep(2000);
    rig.finish(rig.audit.broken);
  }
}

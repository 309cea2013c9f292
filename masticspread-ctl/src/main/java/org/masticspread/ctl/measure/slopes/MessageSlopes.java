package org.masticspread.ctl.measure.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.masticspread.codec.Mappers;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.peer.Digest;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.model.peer.PlaceTasks;
import org.masticspread.model.peer.ReportTasks;
import org.masticspread.model.peer.RunAtHome;
import org.masticspread.model.peer.RunningTask;
import org.masticspread.model.peer.ShardsSealed;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.result.ResultCode;
import org.masticspread.wire.MessageTypes;

/** Measures of message sizes, of the CPU time to write and read them, and of the traffic per VM. */
final class MessageSlopes {
  /** The number of racks of eight workers each that hold 550 workers. */
  private static final int RACKS = 69;

  private static final int WORKERS = 550;
  private static final int TASKS_PER_WORKER = 29;

  /** Digests per second to each peer, since the node option {@code --gossip} defaults to 0.5 s. */
  private static final double DIGESTS_PER_SECOND = 2;

  /** Renewals per second of a worker: every third of {@code --worker-lease}, 10 s in the node. */
  private static final double RENEWALS_PER_SECOND = 0.3;

  private static final int[] RACK_COUNTS = {1, 4, 8, 16};
  private static final int[] VM_COUNTS = {3, 6, 9, 18, 36};
  private static final int MESSAGES_PER_RUN = 200;
  private static final double PER_MESSAGE = 1.0 / MESSAGES_PER_RUN;

  private MessageSlopes() {}

  static List<SlopeRow> rows() {
    List<SlopeRow> rows = new ArrayList<>();
    rows.addAll(
        sizeAndTimeRows(
            "Digest, 34 teams in each own rack", "rack", MessageSlopes::racks, RACK_COUNTS));
    rows.addAll(
        sizeAndTimeRows("Digest, 1 own rack", "team", n -> digest(1, n, 0, 0), 1, 8, 17, 34));
    rows.addAll(
        sizeAndTimeRows(
            "Digest, rack epochs", "rack epoch", n -> digest(0, 0, n, 0), 8, 32, RACKS));
    rows.addAll(
        sizeAndTimeRows("Digest, work shards", "work shard", n -> digest(0, 0, 0, n), 4, 8, 16));
    rows.addAll(sizeAndTimeRows("PlaceTasks", "task", MessageSlopes::placeTasks, 1, 4, 16));
    rows.addAll(sizeAndTimeRows("ReportTasks", "task", MessageSlopes::reportTasks, 1, 4, 16));
    rows.addAll(sizeAndTimeRows("ShardsSealed", "task", MessageSlopes::sealed, 8, 64, 232));
    rows.addAll(
        sizeAndTimeRows("RunAtHome", "byte of body", MessageSlopes::runAtHome, 100, 1_000, 10_000));
    rows.add(
        Cost.row(
            "bytes of WorkerReport as JSON", "bytes/task", true, MessageSlopes::json, 8, 29, 64));
    rows.add(
        Cost.row(
            "digests sent and received a second by a VM",
            "messages/VM",
            true,
            vms -> 2 * DIGESTS_PER_SECOND * (vms - 1),
            VM_COUNTS));
    rows.add(
        Cost.row(
            "digest bytes sent a second by a VM, 69 racks in all",
            "bytes per second/VM",
            true,
            MessageSlopes::gossip,
            VM_COUNTS));
    rows.add(
        Cost.row(
            "renewal bytes a second in all, 29 tasks each",
            "bytes per second/worker",
            true,
            workers -> workers * RENEWALS_PER_SECOND * json(TASKS_PER_WORKER),
            50,
            200,
            WORKERS));
    return rows;
  }

  private static List<SlopeRow> sizeAndTimeRows(
      String messageName, String item, IntFunction<PeerMessage> message, int... sizes) {
    return List.of(
        Cost.row(
            "bytes of " + messageName,
            "bytes/" + item,
            true,
            size -> MessageTypes.write(message.apply(size)).length,
            sizes),
        Cost.row(
            "write and read " + messageName,
            "us/" + item,
            false,
            size -> writeAndRead(message, size),
            sizes));
  }

  private static double writeAndRead(IntFunction<PeerMessage> message, int size) throws Exception {
    double micros =
        Meters.micros(
            () -> {
              PeerMessage read = null;
              for (int i = 0; i < MESSAGES_PER_RUN; i++) {
                PeerMessage built = message.apply(size);
                int number = MessageTypes.numberOf(built);
                read = MessageTypes.read(number, MessageTypes.write(built));
              }
              return read;
            });
    return micros * PER_MESSAGE;
  }

  private static Digest digest(int racks, int teams, int rackEpochs, int shards) {
    return Samples.digest(racks, teams, rackEpochs, shards);
  }

  private static PeerMessage racks(int racks) {
    return digest(racks, Samples.TEAMS, RACKS, Samples.SHARDS / 8);
  }

  private static PeerMessage placeTasks(int tasks) {
    return new PlaceTasks(Samples.RACK, 12, Samples.list(tasks, Samples::placeTask));
  }

  private static PeerMessage reportTasks(int tasks) {
    return new ReportTasks(
        ShardId.work(7), Samples.worker(0), Samples.RACK, Samples.list(tasks, Samples::workerTask));
  }

  private static PeerMessage sealed(int tasks) {
    return new ShardsSealed(ResultCode.OK, Samples.list(tasks, MessageSlopes::running));
  }

  private static RunningTask running(int number) {
    return new RunningTask(
        new TaskAttempt(Samples.task(number), 1),
        ShardId.work(number % Samples.SHARDS),
        Samples.worker(number % WORKERS),
        true);
  }

  private static PeerMessage runAtHome(int bodyBytes) {
    return new RunAtHome(Samples.request(1, true, bodyBytes));
  }

  private static double json(int tasks) throws Exception {
    WorkerReport report =
        new WorkerReport(Samples.worker(0), 1, Samples.list(tasks, Samples::workerTask));
    return Mappers.json().writeValueAsBytes(report).length;
  }

  private static double gossip(int vms) throws Exception {
    int racks = (RACKS + vms - 1) / vms;
    int shards = (Samples.SHARDS + vms - 1) / vms;
    int bytes = MessageTypes.write(digest(racks, Samples.TEAMS, RACKS, shards)).length;
    return DIGESTS_PER_SECOND * (vms - 1) * bytes;
  }
}

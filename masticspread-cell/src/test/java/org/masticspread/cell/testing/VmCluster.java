package org.masticspread.cell.testing;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.masticspread.cell.gateway.Gateway;
import org.masticspread.cell.journal.VmRecord;
import org.masticspread.cell.lead.Vm;
import org.masticspread.cell.lead.VmPorts;
import org.masticspread.cell.load.LoadMeter;
import org.masticspread.cell.port.CommitResult;
import org.masticspread.cell.port.RowPage;
import org.masticspread.cell.port.StoreReadException;
import org.masticspread.cell.port.TableCommit;
import org.masticspread.cell.port.TableCommit.Put;
import org.masticspread.cell.port.TableCommit.RowName;
import org.masticspread.cell.port.TablePort;
import org.masticspread.cell.port.WorkerEntry;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.AdviceReply;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellCall.Action;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerMessage;

/** Several VMs on one store and the same workers, with links that can be cut, in virtual time. */
public final class VmCluster {
  private static final Duration LATENCY = Duration.ofMillis(2);

  public final VirtualTime time = new VirtualTime();
  public final FakeTable table = new FakeTable(time);
  public final FakeWorkers workers = new FakeWorkers(time);
  public final List<String> events = new ArrayList<>();
  private final CellConfig config;
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final Set<String> cutFromStore = new HashSet<>();
  private final Set<String> cutFromPeers = new HashSet<>();
  private int lives;

  private record Member(Vm vm, Gateway gateway, String life) {}

  /** Creates a cluster without VMs. */
  public VmCluster(CellConfig config) {
    this.config = config;
  }

  /** Starts a VM, or starts it anew. */
  public void start(String name, double strength) {
    write("op", "config");
    workers.entries().forEach(entry -> write("servers", entry.id()));
    String life = "life-" + ++lives;
    Vm[] created = new Vm[1];
    MetricRegistry metrics = new MetricRegistry();
    VmPorts ports =
        new VmPorts(
            new Store(name, life),
            workers,
            (step, ids, timeout) -> Single.just(approveAll(ids)),
            (to, message, timeout) -> call(name, life, to, message, timeout),
            new VmPorts.Source<>("servers", Foreign.PART, row -> entry(row.key())),
            new VmPorts.Source<>("op", Foreign.PART, row -> Optional.of(config)),
            (delay, action) ->
                time.after(
                    delay,
                    () -> {
                      if (alive(name, life)) {
                        action.run();
                      }
                    }),
            time,
            time,
            (event, id, facts) -> events.add(time.millis() + " " + name + " " + event + " " + id),
            metrics,
            CellFixture.LIMITS,
            new LoadMeter(metrics, System::nanoTime));
    Vm vm = new Vm(ports, new VmRecord(name, life, name + ":1", strength, "dc"));
    created[0] = vm;
    members.put(name, new Member(vm, new Gateway(ports, vm), life));
    vm.start(newer -> {});
  }

  /** The part in which the fixture keeps what the operator and the workers write. */
  private static final class Foreign {
    private static final String PART = "";
  }

  private void write(String rowTable, String key) {
    RowName row = new RowName(rowTable, key);
    table.apply(
        new TableCommit(Foreign.PART, List.of(), List.of(new Put(row, new byte[] {1})), List.of()));
  }

  private Optional<WorkerEntry> entry(String id) {
    return workers.entries().stream().filter(entry -> entry.id().equals(id)).findFirst();
  }

  private static AdviceReply approveAll(List<String> ids) {
    return new AdviceReply(
        true, ids.stream().map(id -> new AdviceReply.Ticket(id, "t")).toList(), 2000);
  }

  private boolean alive(String name, String life) {
    Member member = members.get(name);
    return member == null || member.life.equals(life);
  }

  /** Ends the process of a VM. */
  public void kill(String name) {
    members.put(name, new Member(null, null, "dead-" + ++lives));
  }

  /** Cuts a VM off from the store, or ends the cut. */
  public void cutFromStore(String name, boolean cut) {
    change(cutFromStore, name, cut);
  }

  /** Cuts a VM off from all other VMs, or ends the cut. */
  public void cutFromPeers(String name, boolean cut) {
    change(cutFromPeers, name, cut);
  }

  private static void change(Set<String> set, String name, boolean add) {
    if (add) {
      set.add(name);
    } else {
      set.remove(name);
    }
  }

  /** Returns a VM that runs. */
  public Vm vm(String name) {
    return members.get(name).vm;
  }

  /** Returns the VMs that answer calls as leaders. */
  public List<String> leaders() {
    return members.entrySet().stream()
        .filter(member -> member.getValue().vm != null)
        .filter(member -> member.getValue().vm.cell().isPresent())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Sends a call of a caller to a VM; the list gets the answer when it comes. */
  public List<CellReply> call(String name, Action action, String job, JobOrder order) {
    List<CellReply> replies = new ArrayList<>();
    CellCall call = new CellCall(action, "checks", 1, job, order);
    members.get(name).gateway.carry(call, Duration.ofSeconds(3), replies::add);
    return replies;
  }

  private CompletableFuture<PeerMessage> call(
      String from, String life, VmId to, PeerMessage message, Duration timeout) {
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    Member target = members.get(to.value());
    boolean cut = cutFromPeers.contains(from) || cutFromPeers.contains(to.value());
    if (target == null || target.vm == null) {
      time.after(LATENCY, () -> fail(answer, false, "refused"));
      return answer;
    }
    time.after(timeout, () -> fail(answer, true, "no answer"));
    if (cut) {
      return answer;
    }
    time.after(
        LATENCY,
        () ->
            target
                .vm
                .handle(VmId.of(from), message)
                .whenComplete(
                    (reply, error) ->
                        time.after(
                            LATENCY,
                            () -> {
                              if (alive(to.value(), target.life) && alive(from, life)) {
                                answer.complete(reply);
                              }
                            })));
    return answer;
  }

  private static void fail(CompletableFuture<PeerMessage> answer, boolean sent, String reason) {
    answer.completeExceptionally(new PeerException(sent, reason, null));
  }

  /** The store as one VM reaches it. */
  private final class Store implements TablePort {
    private final String vm;
    private final String life;

    Store(String vm, String life) {
      this.vm = vm;
      this.life = life;
    }

    private boolean reached() {
      return !cutFromStore.contains(vm) && alive(vm, life);
    }

    @Override
    public Single<CommitResult> commit(TableCommit commit) {
      if (reached()) {
        return table.commit(commit);
      }
      return Single.create(
          emitter ->
              time.after(
                  Duration.ofSeconds(1),
                  () -> emitter.onSuccess(CommitResult.of(CommitResult.Kind.UNKNOWN))));
    }

    @Override
    public Single<RowPage> read(String name, String part, String from) {
      return reached() ? table.read(name, part, from) : lost();
    }

    @Override
    public Single<RowPage> follow(String name, long after, Duration wait) {
      return reached() ? table.follow(name, after, wait) : lost();
    }

    private Single<RowPage> lost() {
      return Single.create(
          emitter ->
              time.after(
                  Duration.ofSeconds(1),
                  () -> emitter.onError(new StoreReadException(false, "cut", null))));
    }
  }
}

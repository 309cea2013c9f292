package org.masticspread.node.trial;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.JobAnswered;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.node.launch.EmbeddedPlatform;
import org.masticspread.node.launch.Node;
import org.masticspread.platform.standin.Faults;
import org.masticspread.platform.standin.VirtualTime;
import org.masticspread.state.history.HistoryEvent;

/**
 * Cell of complete nodes that run in one thread on virtual time and share the stand-ins of a
 * platform.
 *
 * <p>Example: {@code TrialCell cell = TrialCell.of(3, 1); cell.warmUp(); cell.kill(1);
 * cell.advance(Duration.ofSeconds(10)); cell.violations();}. VMs are numbered from 1. Not
 * thread-safe.
 */
public final class TrialCell {
  static final Instant START = Instant.parse("2026-01-05T08:00:00Z");
  private static final Duration WARM_UP_TIME = Duration.ofSeconds(25);
  private static final Duration DEREGISTRATION_DELAY = Duration.ofSeconds(10);
  private static final Duration ACCEPT_TIMEOUT = Duration.ofSeconds(8);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(6);

  private final VirtualTime time = VirtualTime.from(START);
  private final VmGate.RunningGate runningGate = new VmGate.RunningGate(time);
  private final UniformRandomProvider random;
  private final Faults faults;
  private final EmbeddedPlatform platform;
  private final TrialNetwork network;
  private final TrialHistory history = new TrialHistory(time);
  private final Map<VmId, TrialVm> vms = new LinkedHashMap<>();
  private final int size;

  private TrialCell(int size, long seed) {
    this.size = size;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.faults = Faults.seeded(time, runningGate, random.nextLong());
    Configuration configuration = TrialConfiguration.of(size);
    this.platform =
        EmbeddedPlatform.of(
            configuration, time, new GateScheduler(new VmGate(time, runningGate)), faults);
    this.network = new TrialNetwork(time, random);
  }

  /**
   * Creates a cell whose VMs are not started yet.
   *
   * @param vms the number of VMs
   * @param seed the seed of all random choices
   * @return the cell
   */
  public static TrialCell of(int vms, long seed) {
    return new TrialCell(vms, seed);
  }

  /**
   * Starts all VMs, applies the configuration and waits until all shards are owned.
   *
   * @return this cell
   */
  public TrialCell warmUp() {
    for (int vm = 1; vm <= size; vm++) {
      start(vm);
    }
    advance(Duration.ofSeconds(1));
    apply(1, TrialConfiguration.of(size));
    advance(WARM_UP_TIME);
    return this;
  }

  /**
   * Starts a VM as a new incarnation.
   *
   * @param vm its number
   */
  public void start(int vm) {
    VmId id = id(vm);
    VmGate gate = new VmGate(time, runningGate);
    TrialVm started =
        new TrialVm(
            id,
            time,
            gate,
            GatedPlatform.of(
                platform.ports(), gate, () -> history.addViolation(id + " overfilled a worker")),
            network,
            random.nextLong());
    started
        .node()
        .config()
        .onChange(
            c -> history.add(new HistoryEvent.ConfigInForce(id, c.revision(), time.instant())));
    vms.put(id, started);
    started.start();
  }

  /**
   * Kills a VM: its work stops and its calls are lost.
   *
   * @param vm its number
   */
  public void kill(int vm) {
    TrialVm victim = vm(vm);
    victim.gate().end();
    network.failPendingCalls(victim.id());
    time.after(DEREGISTRATION_DELAY, () -> deregister(victim));
  }

  private void deregister(TrialVm dead) {
    if (vms.get(dead.id()) != dead) {
      return;
    }
    try {
      platform.membership().deregister(dead.id());
    } catch (StoreException e) {
      time.after(DEREGISTRATION_DELAY, () -> deregister(dead));
    }
  }

  /**
   * Suspends all work of a VM for a while; the work then continues late.
   *
   * @param vm its number
   * @param wait the duration of the pause
   */
  public void pause(int vm, Duration wait) {
    TrialVm victim = vm(vm);
    victim.gate().suspend();
    network.failPendingCalls(victim.id());
    time.after(wait, victim.gate()::resume);
  }

  /**
   * Kills a VM and starts it at once as a new incarnation.
   *
   * @param vm its number
   */
  public void restart(int vm) {
    kill(vm);
    start(vm);
  }

  /**
   * Begins a graceful stop of a VM.
   *
   * @param vm its number
   */
  public void stop(int vm) {
    vm(vm).stop();
  }

  /**
   * Returns whether the graceful stop of a VM is over and complete.
   *
   * @param vm its number
   * @return whether it is over and complete
   */
  public boolean stoppedCompletely(int vm) {
    return vm(vm).stoppedCompletely();
  }

  /**
   * Adds a fault to a link in one direction, starting now.
   *
   * @param from the number of the sender
   * @param to the number of the receiver
   * @param fault the fault
   * @param wait the duration of the fault
   */
  public void link(int from, int to, LinkFault fault, Duration wait) {
    network.addFault(id(from), id(to), fault, wait);
  }

  /**
   * Applies a configuration at a VM. A refusal is reported as an empty result.
   *
   * @param vm the number of the VM
   * @param configuration the configuration; its revision is the one on which it is based
   * @return the new revision, or empty if it was refused
   */
  public Optional<Long> apply(int vm, Configuration configuration) {
    AtomicReference<Long> revision = new AtomicReference<>();
    vm(vm)
        .gate()
        .run(
            () -> {
              try {
                revision.set(
                    vm(vm)
                        .node()
                        .config()
                        .apply(configuration.revision(), configuration, "trial", "change"));
              } catch (MasticspreadException e) {
                revision.set(null);
              }
            });
    return Optional.ofNullable(revision.get());
  }

  /**
   * Returns the configuration in force on a VM.
   *
   * @param vm the number of the VM
   * @return the configuration
   */
  public Configuration inForce(int vm) {
    return vm(vm).node().config().inForce();
  }

  /**
   * Sends a request to a VM and records its answer in the history.
   *
   * @param vm the number of the VM
   * @param request the request
   * @return the id of the send
   */
  public String send(int vm, RequestSpec request) {
    String send = history.sent(request);
    TrialVm target = vm(vm);
    if (!target.acceptsWork()) {
      return send;
    }
    target
        .gate()
        .run(
            () ->
                target
                    .node()
                    .requests()
                    .run(request)
                    .thenAccept(answer -> history.answered(request, send, answer)));
    return send;
  }

  /**
   * Submits a job at a VM and records the answer in the history.
   *
   * @param vm the number of the VM
   * @param job the job
   */
  public void submit(int vm, JobSpec job) {
    TrialVm target = vm(vm);
    if (!target.acceptsWork()) {
      return;
    }
    history.submitted(job);
    target
        .gate()
        .run(
            () ->
                target
                    .node()
                    .jobs()
                    .submit(job, time.instant().plus(ACCEPT_TIMEOUT))
                    .thenAccept(answer -> history.answered(job, answer.code())));
  }

  /**
   * Cancels a job at a VM.
   *
   * @param vm the number of the VM
   * @param job the job
   */
  public void cancel(int vm, JobSpec job) {
    vm(vm)
        .gate()
        .run(() -> vm(vm).node().jobs().cancel(job.key(), time.instant().plus(ACCEPT_TIMEOUT)));
  }

  /**
   * Reads a job at the first VM that accepts work, and advances the time until it answers.
   *
   * @param job the job
   * @return the job, or empty if the VM does not answer in time
   */
  public Optional<JobView> read(JobSpec job) {
    AtomicReference<JobView> seen = new AtomicReference<>();
    TrialVm target = firstAcceptingWork();
    target
        .gate()
        .run(
            () ->
                target
                    .node()
                    .jobs()
                    .read(job.key())
                    .thenApply(JobAnswered::job)
                    .thenAccept(seen::set));
    Instant deadline = time.instant().plus(READ_TIMEOUT);
    while (seen.get() == null && time.instant().isBefore(deadline)) {
      time.advance(Duration.ofMillis(10));
    }
    return Optional.ofNullable(seen.get());
  }

  private TrialVm firstAcceptingWork() {
    return vms.values().stream().filter(TrialVm::acceptsWork).findFirst().orElseThrow();
  }

  /**
   * Runs a task later, outside any VM.
   *
   * @param wait the delay
   * @param task the task
   */
  public void later(Duration wait, Runnable task) {
    time.after(wait, task);
  }

  /**
   * Advances the virtual time.
   *
   * @param wait the duration
   */
  public void advance(Duration wait) {
    time.advance(wait);
  }

  /**
   * Reads every accepted job and checks all guarantees.
   *
   * @return the violated guarantees; empty if none
   */
  public List<String> violations() {
    for (JobSpec job : history.accepted()) {
      read(job)
          .ifPresent(
              seen ->
                  history.add(new HistoryEvent.JobShown(job.key(), seen.phase(), time.instant())));
    }
    return history.violations(platform.workers(), platform.endpoints());
  }

  /**
   * Returns the result code of a send.
   *
   * @param send the id of the send
   * @return the code, or empty if it was not answered
   */
  public Optional<ResultCode> codeOf(String send) {
    return Optional.ofNullable(history.codeOf(send));
  }

  /**
   * Returns when a send was answered.
   *
   * @param send the id of the send
   * @return the instant, or empty if it was not answered
   */
  public Optional<Instant> answeredAt(String send) {
    return Optional.ofNullable(history.answeredAt(send));
  }

  /**
   * Returns the number of sends that were answered with a code.
   *
   * @param code the code
   * @return the number of sends
   */
  public int answered(ResultCode code) {
    return history.count(code);
  }

  /**
   * Returns the accepted jobs.
   *
   * @return the jobs in the order of their acceptance
   */
  public List<JobSpec> acceptedJobs() {
    return history.accepted();
  }

  /**
   * Returns the present virtual time.
   *
   * @return the instant
   */
  public Instant now() {
    return time.instant();
  }

  /**
   * Returns the script of faults of the platform.
   *
   * @return the script
   */
  public Faults faults() {
    return faults;
  }

  /**
   * Returns the stand-ins.
   *
   * @return the platform
   */
  public EmbeddedPlatform platform() {
    return platform;
  }

  /**
   * Returns the number of messages between VMs, including answers.
   *
   * @return the number of messages
   */
  public long messages() {
    return network.messages();
  }

  /**
   * Returns the total size of the messages between VMs.
   *
   * @return the size in bytes of MessagePack
   */
  public long messageBytes() {
    return network.bytes();
  }

  /**
   * Returns the number of VMs.
   *
   * @return the number of VMs, alive or not
   */
  public int size() {
    return size;
  }

  /**
   * Returns the node of a VM.
   *
   * @param vm its number
   * @return the node of its latest incarnation
   */
  public Node node(int vm) {
    return vm(vm).node();
  }

  /**
   * Returns whether a VM accepts work.
   *
   * @param vm its number
   * @return false if it is dead, paused or stopping
   */
  public boolean acceptsWork(int vm) {
    return vm(vm).acceptsWork();
  }

  /**
   * Returns the name of a VM.
   *
   * @param vm its number
   * @return the name
   */
  public VmId id(int vm) {
    return VmId.of("vm-" + vm);
  }

  private TrialVm vm(int vm) {
    return vms.get(id(vm));
  }

  List<TrialVm> vms() {
    return new ArrayList<>(vms.values());
  }
}

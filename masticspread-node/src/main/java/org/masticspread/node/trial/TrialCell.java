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
 * Whole nodes in one thread on virtual time, with the stand-ins of a platform that they share.
 *
 * <p>Example: {@code TrialCell cell = TrialCell.of(3, 1); cell.warmUp(); cell.kill(1);
 * cell.advance(Duration.ofSeconds(10)); cell.violations();}. VMs are numbered from 1. Not
 * thread-safe.
 */
public final class TrialCell {
  static final Instant START = Instant.parse("2026-01-05T08:00:00Z");
  private static final Duration WARM_UP = Duration.ofSeconds(25);
  private static final Duration LISTED_AFTER_DEATH = Duration.ofSeconds(10);
  private static final Duration ACCEPT_WITHIN = Duration.ofSeconds(8);
  private static final Duration READ_WITHIN = Duration.ofSeconds(6);

  private final VirtualTime time = VirtualTime.from(START);
  private final VmGate.Running running = new VmGate.Running(time);
  private final UniformRandomProvider random;
  private final Faults faults;
  private final EmbeddedPlatform platform;
  private final Links links;
  private final TrialHistory history = new TrialHistory(time);
  private final Map<VmId, TrialVm> vms = new LinkedHashMap<>();
  private final int size;

  private TrialCell(int size, long seed) {
    this.size = size;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.faults = Faults.seeded(time, running, random.nextLong());
    Configuration configuration = TrialConfiguration.of(size);
    this.platform =
        EmbeddedPlatform.of(
            configuration, time, new GateScheduler(new VmGate(time, running)), faults);
    this.links = new Links(time, random);
  }

  /**
   * Creates a cell whose VMs are not started.
   *
   * @param vms the number of VMs
   * @param seed the seed of every random choice
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
    advance(WARM_UP);
    return this;
  }

  /**
   * Starts a VM as a new incarnation.
   *
   * @param vm its number
   */
  public void start(int vm) {
    VmId id = id(vm);
    VmGate gate = new VmGate(time, running);
    TrialVm fresh =
        new TrialVm(
            id,
            time,
            gate,
            GatedPlatform.of(
                platform.ports(), gate, () -> history.broken(id + " overfilled a worker")),
            links,
            random.nextLong());
    fresh
        .node()
        .config()
        .onChange(
            c -> history.add(new HistoryEvent.ConfigInForce(id, c.revision(), time.instant())));
    vms.put(id, fresh);
    fresh.start();
  }

  /**
   * Lets a VM die: its work stops, and its calls vanish.
   *
   * @param vm its number
   */
  public void kill(int vm) {
    TrialVm victim = vm(vm);
    victim.gate().end();
    links.silenced(victim.id());
    time.after(LISTED_AFTER_DEATH, () -> unlist(victim));
  }

  private void unlist(TrialVm dead) {
    if (vms.get(dead.id()) != dead) {
      return;
    }
    try {
      platform.membership().deregister(dead.id());
    } catch (StoreException e) {
      time.after(LISTED_AFTER_DEATH, () -> unlist(dead));
    }
  }

  /**
   * Holds all work of a VM for a time; then it goes on late.
   *
   * @param vm its number
   * @param wait how long
   */
  public void pause(int vm, Duration wait) {
    TrialVm victim = vm(vm);
    victim.gate().hold();
    links.silenced(victim.id());
    time.after(wait, victim.gate()::goOn);
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
   * Begins a graceful stop.
   *
   * @param vm its number
   */
  public void stop(int vm) {
    vm(vm).stop();
  }

  /**
   * Tells whether a graceful stop is over and left nothing behind.
   *
   * @param vm its number
   * @return whether it was whole
   */
  public boolean stoppedWhole(int vm) {
    return vm(vm).stoppedWhole();
  }

  /**
   * Lets a link be faulty from now on, in one direction.
   *
   * @param from the number of the sender
   * @param to the number of the receiver
   * @param fault the fault
   * @param wait how long
   */
  public void link(int from, int to, LinkFault fault, Duration wait) {
    links.fault(id(from), id(to), fault, wait);
  }

  /**
   * Applies a configuration at a VM. A failure is left to the caller.
   *
   * @param vm the number of the VM
   * @param configuration the configuration; its revision is the one it was made from
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
   * Sends a request to a VM; the history takes its answer.
   *
   * @param vm the number of the VM
   * @param request the request
   * @return the name of the sending
   */
  public String send(int vm, RequestSpec request) {
    String send = history.sent(request);
    TrialVm target = vm(vm);
    if (!target.takesWork()) {
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
   * Submits a job at a VM; the history takes the answer.
   *
   * @param vm the number of the VM
   * @param job the job
   */
  public void submit(int vm, JobSpec job) {
    TrialVm target = vm(vm);
    if (!target.takesWork()) {
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
                    .submit(job, time.instant().plus(ACCEPT_WITHIN))
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
        .run(() -> vm(vm).node().jobs().cancel(job.key(), time.instant().plus(ACCEPT_WITHIN)));
  }

  /**
   * Reads a job at the first VM that takes work; lets time pass until it answers.
   *
   * @param job the job
   * @return the job, or empty if none answered
   */
  public Optional<JobView> read(JobSpec job) {
    AtomicReference<JobView> seen = new AtomicReference<>();
    TrialVm target = firstAlive();
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
    Instant until = time.instant().plus(READ_WITHIN);
    while (seen.get() == null && time.instant().isBefore(until)) {
      time.advance(Duration.ofMillis(10));
    }
    return Optional.ofNullable(seen.get());
  }

  private TrialVm firstAlive() {
    return vms.values().stream().filter(TrialVm::takesWork).findFirst().orElseThrow();
  }

  /**
   * Does something later, outside any VM.
   *
   * @param wait how much later
   * @param task what to do
   */
  public void later(Duration wait, Runnable task) {
    time.after(wait, task);
  }

  /**
   * Lets time pass.
   *
   * @param wait how long
   */
  public void advance(Duration wait) {
    time.advance(wait);
  }

  /**
   * Reads every accepted job and checks all promises.
   *
   * @return the promises that are broken; empty if none is
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
   * Returns the code that a sending was told.
   *
   * @param send the name of the sending
   * @return the code, or empty if it was not answered
   */
  public Optional<ResultCode> codeOf(String send) {
    return Optional.ofNullable(history.codeOf(send));
  }

  /**
   * Returns when a sending was answered.
   *
   * @param send the name of the sending
   * @return the instant, or empty if it was not answered
   */
  public Optional<Instant> answeredAt(String send) {
    return Optional.ofNullable(history.answeredAt(send));
  }

  /**
   * Counts the sendings that were told a code.
   *
   * @param code the code
   * @return the number of sendings
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
   * Returns the virtual instant.
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
   * Counts the messages between VMs, answers included.
   *
   * @return the number of messages
   */
  public long messages() {
    return links.messages();
  }

  /**
   * Returns the size of the messages between VMs.
   *
   * @return their bytes in MessagePack
   */
  public long messageBytes() {
    return links.bytes();
  }

  /**
   * Returns the number of VMs.
   *
   * @return VMs, alive or not
   */
  public int size() {
    return size;
  }

  /**
   * Returns a node.
   *
   * @param vm its number
   * @return its latest incarnation
   */
  public Node node(int vm) {
    return vm(vm).node();
  }

  /**
   * Tells whether a VM takes work.
   *
   * @param vm its number
   * @return false if it is dead, held or stopping
   */
  public boolean takesWork(int vm) {
    return vm(vm).takesWork();
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

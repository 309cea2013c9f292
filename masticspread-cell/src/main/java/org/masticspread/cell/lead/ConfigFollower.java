package org.masticspread.cell.lead;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.masticspread.cell.port.TableRow;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.CellConfigRow;
import org.masticspread.model.peer.ReadCellConfig;
import org.masticspread.model.peer.VmStatus;
import org.masticspread.model.work.Payload;

/**
 * Follows the configuration of the operator, from the store and from other VMs that have a newer
 * one. Confined to the VM's thread.
 *
 * <pre>{@code
 * ConfigFollower configs = new ConfigFollower(ports, callbacks);
 * configs.start();
 * configs.config().flatMap(config -> config.match(host, path));
 * }</pre>
 */
final class ConfigFollower {
  /** The age from which the configuration may be older than the operator is promised. */
  private static final Duration MAX_AGE = Duration.ofSeconds(2);

  /** The interval at which an unconfirmed configuration is checked. */
  private static final Duration AGE_CHECK_INTERVAL = Duration.ofMillis(100);

  /** How long the store may hold a poll of the leader, which confirms the other VMs' version. */
  private static final Duration LEADER_HOLD = Duration.ofMillis(200);

  /** How long the store may hold a poll of a VM whose version no other VM confirms. */
  private static final Duration UNCONFIRMED_HOLD = Duration.ofMillis(500);

  /**
   * How much older than the interval at which it is normally confirmed a configuration may be
   * before the VM asks the store: more than the age that the leader's has, and little enough to
   * open another connection and ask again within {@link #MAX_AGE}.
   */
  private static final Duration REFRESH_MARGIN = Duration.ofMillis(300);

  /**
   * How long to wait for the store before a configuration is read from a VM that has a newer one;
   * the store normally notifies all VMs of a change within this time.
   */
  private static final Duration READ_DELAY = Duration.ofMillis(80);

  private static final Duration READ_TIMEOUT = Duration.ofMillis(400);

  /** The interval at which a VM whose configuration is not confirmed probes other VMs. */
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(400);

  /** The age before any confirmation; low enough that sums of a few such ages stay in range. */
  private static final Duration UNKNOWN_AGE = Duration.ofDays(365);

  /**
   * Added to an age that is told to another VM, so that the rounding of both clocks to milliseconds
   * never makes it younger, however often it is passed on.
   */
  private static final int ROUNDING_MILLIS = 1;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Connects the follower to its VM. */
  interface Callbacks {
    /** Returns whether the VM leads the cell. */
    boolean leading();

    /** Returns the interval at which the VM probes the leader. */
    Duration probeInterval();

    /**
     * Probes other VMs, because neither the store nor the leader has confirmed the configuration
     * for a while. Their status is passed to {@link ConfigFollower#onStatus}.
     */
    void probeOthers();

    /** Applies a newer configuration. */
    void configure(CellConfig newer);
  }

  private final VmPorts ports;

  /** Measures all ages, so that they include the time for which the VM was suspended. */
  private final ElapsedClock clock;

  private final Callbacks callbacks;
  private final TableFollower table;
  private final Set<VmId> reading = new HashSet<>();
  private Optional<CellConfig> config = Optional.empty();
  private Optional<TableRow> row = Optional.empty();
  private long lastProbeMillis = NEVER;
  private long peerConfirmedMillis = NEVER;
  private boolean outdated;

  /**
   * Creates a follower without a configuration.
   *
   * @param ports the ports of the VM
   * @param callbacks connects the follower to its VM
   */
  ConfigFollower(VmPorts ports, Callbacks callbacks) {
    this.ports = ports;
    this.callbacks = callbacks;
    this.clock = new ElapsedClock(ports.clock(), ports.timeOfDay(), this::onSuspended);
    this.table =
        new TableFollower(
            ports.store(),
            ports.timers(),
            clock,
            ports.log(),
            ports.operatorConfig().table(),
            ports.operatorConfig().part(),
            this::hold,
            this::onRows);
  }

  /** Starts to follow the configuration. */
  void start() {
    table.start();
    checkAge();
  }

  /** Returns the newest configuration that this VM has, or empty before the first. */
  Optional<CellConfig> config() {
    return config;
  }

  /** Returns the version of the configuration, or 0 before the first. */
  long version() {
    return config.map(CellConfig::version).orElse(0L);
  }

  /**
   * Returns the time since the configuration was certainly the newest, including the time for which
   * this VM and those that passed it on were suspended. It is very high before any confirmation,
   * and after a suspension of this VM until the configuration is confirmed again.
   */
  Duration age() {
    long now = clock.millis();
    boolean byStore = table.confirmed() && table.confirmedMillis() >= clock.wokeMillis();
    long confirmedMillis = Math.max(byStore ? table.confirmedMillis() : NEVER, peerConfirmedMillis);
    return Duration.ofMillis(Math.min(UNKNOWN_AGE.toMillis(), now - confirmedMillis));
  }

  /**
   * Returns the time since the configuration was confirmed, or since the follower was created. It
   * is shown to operators; decisions use {@link #age}.
   */
  Duration unconfirmedFor() {
    return Duration.ofMillis(
        clock.millis() - Math.max(table.confirmedMillis(), peerConfirmedMillis));
  }

  /** Returns the time of the clock that measures ages, in ms. */
  long nowMillis() {
    return clock.millis();
  }

  /** Returns whether the configuration was certainly the newest at some time since then. */
  boolean confirmedSince(long millis) {
    return age().toMillis() <= ports.clock().millis() - millis;
  }

  /** Asks the store for changes at once, in addition to following them. */
  void refresh() {
    table.refresh();
  }

  /**
   * Learns from the status of another VM that the configuration is the newest, or is not.
   *
   * @param vm the other VM
   * @param status the status
   * @param askedMillis when the VM was asked, by {@link #nowMillis}
   */
  void onStatus(VmId vm, VmStatus status, long askedMillis) {
    if (status.configVersion() == version()) {
      confirmedByPeer(askedMillis, status.configAgeMillis());
    } else {
      onVersion(vm, status.configVersion());
    }
  }

  /** Counts the age of another VM from the moment at which it was asked. */
  private void confirmedByPeer(long askedMillis, long ageMillis) {
    clock.millis();
    if (askedMillis >= clock.wokeMillis()) {
      long asOfMillis = askedMillis - Math.max(0, Math.min(ageMillis, UNKNOWN_AGE.toMillis()));
      peerConfirmedMillis = Math.max(peerConfirmedMillis, asOfMillis);
    }
  }

  /** Voids what was confirmed before a suspension of this VM, and asks again. */
  private void onSuspended(long gapMillis) {
    peerConfirmedMillis = NEVER;
    ports.log().event("clock-gap", "config", "version", version(), "gapMs", gapMillis);
    ports.timers().after(Duration.ZERO, this::confirm);
  }

  private void confirm() {
    refresh();
    probePeriodically();
  }

  /**
   * Learns which version another VM uses. If that is newer, and the store does not deliver it soon,
   * it is read from that VM.
   *
   * @param vm the other VM
   * @param version its version
   */
  void onVersion(VmId vm, long version) {
    if (version <= version() || !reading.add(vm)) {
      return;
    }
    ports.timers().after(READ_DELAY, () -> readFrom(vm, version));
  }

  private void readFrom(VmId vm, long version) {
    if (version <= version()) {
      reading.remove(vm);
      return;
    }
    refresh();
    long sentMillis = clock.millis();
    ports
        .peers()
        .call(vm, new ReadCellConfig(version()), READ_TIMEOUT)
        .whenComplete(
            (answer, error) ->
                ports
                    .timers()
                    .after(
                        Duration.ZERO,
                        () -> {
                          reading.remove(vm);
                          if (answer instanceof CellConfigRow received) {
                            onReceived(vm, received, sentMillis);
                          }
                        }));
  }

  private void onReceived(VmId vm, CellConfigRow received, long sentMillis) {
    if (received.key().isEmpty()) {
      return;
    }
    TableRow newer =
        new TableRow(
            ports.operatorConfig().table(),
            ports.operatorConfig().part(),
            received.key(),
            received.value().bytes(),
            received.rowVersion(),
            false);
    Optional<CellConfig> decoded = ports.operatorConfig().decoder().apply(newer);
    decoded.ifPresent(value -> apply(value, newer, vm.value()));
    if (decoded.isPresent() && decoded.get().version() == version()) {
      confirmedByPeer(sentMillis, received.ageMillis());
    }
  }

  /**
   * Returns the row of the configuration for another VM.
   *
   * @param knownVersion the version that the other VM has
   * @return the row, or one without a key if there is no newer one
   */
  CellConfigRow rowNewerThan(long knownVersion) {
    if (version() <= knownVersion) {
      return new CellConfigRow("", Payload.EMPTY, 0, toldAgeMillis());
    }
    TableRow newest = row.orElseThrow();
    return new CellConfigRow(
        newest.key(), new Payload(newest.value()), newest.version(), toldAgeMillis());
  }

  /** Returns the age of the configuration as other VMs are told it, in ms. */
  long toldAgeMillis() {
    return age().toMillis() + ROUNDING_MILLIS;
  }

  private Duration refreshAge() {
    Duration confirmedEvery = callbacks.leading() ? LEADER_HOLD : callbacks.probeInterval();
    return confirmedEvery.plus(REFRESH_MARGIN);
  }

  private Duration hold() {
    if (callbacks.leading()) {
      return LEADER_HOLD;
    }
    boolean confirmed = clock.millis() - peerConfirmedMillis < refreshAge().toMillis();
    return confirmed ? TableFollower.LONG_HOLD : UNCONFIRMED_HOLD;
  }

  private void onRows(List<TableRow> rows, boolean all) {
    for (TableRow changed : rows) {
      ports
          .operatorConfig()
          .decoder()
          .apply(changed)
          .ifPresent(newer -> apply(newer, changed, "store"));
    }
  }

  private void apply(CellConfig newer, TableRow source, String sender) {
    if (newer.version() <= version()) {
      return;
    }
    ports
        .log()
        .event(
            "config-applied",
            Long.toString(newer.version()),
            "before",
            version(),
            "row",
            source.version(),
            "source",
            sender,
            "ageMs",
            config.isEmpty() ? 0 : unconfirmedFor().toMillis(),
            "queues",
            newer.queues().size());
    config = Optional.of(newer);
    row = Optional.of(source);
    callbacks.configure(newer);
  }

  /** Keeps the configuration confirmed; logs when it is too old, and when it no longer is. */
  private void checkAge() {
    Duration age = config.isPresent() ? age() : unconfirmedFor();
    if (age.compareTo(refreshAge()) >= 0) {
      confirm();
    }
    boolean tooOld = config.isPresent() && age.compareTo(MAX_AGE) > 0;
    if (tooOld != outdated) {
      outdated = tooOld;
      ports
          .log()
          .event(
              tooOld ? "config-unconfirmed" : "config-confirmed",
              Long.toString(version()),
              "ageMs",
              unconfirmedFor().toMillis());
    }
    Duration confirmedFor = refreshAge().minus(age);
    boolean soon = confirmedFor.compareTo(AGE_CHECK_INTERVAL) < 0;
    ports.timers().after(soon ? AGE_CHECK_INTERVAL : confirmedFor, this::checkAge);
  }

  private void probePeriodically() {
    long now = clock.millis();
    if (now - lastProbeMillis >= PROBE_INTERVAL.toMillis()) {
      lastProbeMillis = now;
      callbacks.probeOthers();
    }
  }
}

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
  private final Callbacks callbacks;
  private final TableFollower table;
  private final Set<VmId> reading = new HashSet<>();
  private Optional<CellConfig> config = Optional.empty();
  private Optional<TableRow> row = Optional.empty();
  private long lastProbeMillis = Long.MIN_VALUE / 2;
  private long peerConfirmedMillis = Long.MIN_VALUE / 2;
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
    this.table =
        new TableFollower(
            ports.store(),
            ports.timers(),
            ports.clock(),
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

  /** Returns the time since the configuration was certainly the newest. */
  Duration age() {
    long confirmedMillis = Math.max(table.confirmedMillis(), peerConfirmedMillis);
    return Duration.ofMillis(ports.clock().millis() - confirmedMillis);
  }

  /** Returns whether the configuration was certainly the newest at some time since then. */
  boolean confirmedSince(long millis) {
    return Math.max(table.confirmedMillis(), peerConfirmedMillis) >= millis;
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
   * @param askedMillis when the VM was asked
   */
  void onStatus(VmId vm, VmStatus status, long askedMillis) {
    if (status.configVersion() == version()) {
      peerConfirmedMillis = Math.max(peerConfirmedMillis, askedMillis - status.configAgeMillis());
    } else {
      onVersion(vm, status.configVersion());
    }
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
    long sentMillis = ports.clock().millis();
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
      peerConfirmedMillis = Math.max(peerConfirmedMillis, sentMillis - received.ageMillis());
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
      return new CellConfigRow("", Payload.EMPTY, 0, age().toMillis());
    }
    TableRow newest = row.orElseThrow();
    return new CellConfigRow(
        newest.key(), new Payload(newest.value()), newest.version(), age().toMillis());
  }

  private Duration refreshAge() {
    Duration confirmedEvery = callbacks.leading() ? LEADER_HOLD : callbacks.probeInterval();
    return confirmedEvery.plus(REFRESH_MARGIN);
  }

  private Duration hold() {
    if (callbacks.leading()) {
      return LEADER_HOLD;
    }
    boolean confirmed = ports.clock().millis() - peerConfirmedMillis < refreshAge().toMillis();
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
            config.isEmpty() ? 0 : age().toMillis(),
            "queues",
            newer.queues().size());
    config = Optional.of(newer);
    row = Optional.of(source);
    callbacks.configure(newer);
  }

  /** Keeps the configuration confirmed; logs when it is too old, and when it no longer is. */
  private void checkAge() {
    if (age().compareTo(refreshAge()) >= 0) {
      refresh();
      probePeriodically();
    }
    boolean tooOld = config.isPresent() && age().compareTo(MAX_AGE) > 0;
    if (tooOld != outdated) {
      outdated = tooOld;
      ports
          .log()
          .event(
              tooOld ? "config-unconfirmed" : "config-confirmed",
              Long.toString(version()),
              "ageMs",
              age().toMillis());
    }
    Duration confirmedFor = refreshAge().minus(age());
    boolean soon = confirmedFor.compareTo(AGE_CHECK_INTERVAL) < 0;
    ports.timers().after(soon ? AGE_CHECK_INTERVAL : confirmedFor, this::checkAge);
  }

  private void probePeriodically() {
    long now = ports.clock().millis();
    if (now - lastProbeMillis >= PROBE_INTERVAL.toMillis()) {
      lastProbeMillis = now;
      callbacks.probeOthers();
    }
  }
}

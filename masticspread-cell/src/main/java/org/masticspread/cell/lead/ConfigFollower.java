package org.masticspread.cell.lead;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.masticspread.cell.port.TableRow;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.peer.VmStatus;

/**
 * Follows the configuration of the operator. Confined to the VM's thread.
 *
 * <pre>{@code
 * ConfigFollower configs = new ConfigFollower(ports, newer -> cell.configure(newer));
 * configs.start();
 * configs.config().flatMap(config -> config.match(host, path));
 * }</pre>
 */
final class ConfigFollower {
  /** The age from which the configuration may be older than the operator is promised. */
  private static final Duration MAX_AGE = Duration.ofSeconds(2);

  private static final Duration AGE_CHECK_INTERVAL = Duration.ofMillis(100);

  /** How long the store may hold a poll of the leader, which confirms the other VMs' version. */
  private static final Duration LEADER_HOLD = Duration.ofMillis(250);

  /** How long the store may hold a poll of a VM whose version no other VM confirms. */
  private static final Duration UNCONFIRMED_HOLD = Duration.ofMillis(700);

  /**
   * The age from which a VM asks the store itself: above the interval of the slowest probes of the
   * leader, and early enough to open another connection and ask again within {@link #MAX_AGE}.
   */
  private static final Duration REFRESH_AGE = Duration.ofMillis(1300);

  private final VmPorts ports;
  private final BooleanSupplier leading;
  private final Consumer<CellConfig> listener;
  private final TableFollower table;
  private Optional<CellConfig> config = Optional.empty();
  private long peerConfirmedMillis = Long.MIN_VALUE / 2;
  private boolean outdated;

  /**
   * Creates a follower without a configuration.
   *
   * @param ports the ports of the VM
   * @param leading returns whether this VM leads the cell
   * @param listener receives each newer configuration
   */
  ConfigFollower(VmPorts ports, BooleanSupplier leading, Consumer<CellConfig> listener) {
    this.ports = ports;
    this.leading = leading;
    this.listener = listener;
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

  /** Asks the store for changes at once, in addition to following them. */
  void refresh() {
    table.refresh();
  }

  /**
   * Learns from the status of another VM that the configuration is the newest, or is not.
   *
   * @param status the status
   * @param askedMillis when the VM was asked
   */
  void onStatus(VmStatus status, long askedMillis) {
    if (status.configVersion() == version()) {
      peerConfirmedMillis = Math.max(peerConfirmedMillis, askedMillis - status.configAgeMillis());
    } else if (status.configVersion() > version()) {
      refresh();
    }
  }

  private Duration hold() {
    if (leading.getAsBoolean()) {
      return LEADER_HOLD;
    }
    boolean confirmed = ports.clock().millis() - peerConfirmedMillis < REFRESH_AGE.toMillis();
    return confirmed ? TableFollower.LONG_HOLD : UNCONFIRMED_HOLD;
  }

  private void onRows(List<TableRow> rows, boolean all) {
    for (TableRow row : rows) {
      ports.operatorConfig().decoder().apply(row).ifPresent(newer -> apply(newer, row.version()));
    }
  }

  private void apply(CellConfig newer, long rowVersion) {
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
            rowVersion,
            "source",
            "store",
            "ageMs",
            config.isEmpty() ? 0 : age().toMillis(),
            "queues",
            newer.queues().size());
    config = Optional.of(newer);
    listener.accept(newer);
  }

  /** Keeps the configuration confirmed; logs when it is too old, and when it no longer is. */
  private void checkAge() {
    if (age().compareTo(REFRESH_AGE) >= 0) {
      refresh();
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
    ports.timers().after(AGE_CHECK_INTERVAL, this::checkAge);
  }
}

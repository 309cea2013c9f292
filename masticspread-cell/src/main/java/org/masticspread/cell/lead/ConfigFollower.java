package org.masticspread.cell.lead;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.masticspread.cell.port.TableRow;
import org.masticspread.model.cell.CellConfig;

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

  private static final Duration AGE_CHECK_INTERVAL = Duration.ofMillis(200);

  private final VmPorts ports;
  private final Consumer<CellConfig> listener;
  private final TableFollower table;
  private Optional<CellConfig> config = Optional.empty();
  private boolean outdated;

  /**
   * Creates a follower without a configuration.
   *
   * @param ports the ports of the VM
   * @param listener receives each newer configuration
   */
  ConfigFollower(VmPorts ports, Consumer<CellConfig> listener) {
    this.ports = ports;
    this.listener = listener;
    this.table =
        new TableFollower(
            ports.store(),
            ports.timers(),
            ports.clock(),
            ports.log(),
            ports.operatorConfig().table(),
            ports.operatorConfig().part(),
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
    return Duration.ofMillis(ports.clock().millis() - table.confirmedMillis());
  }

  /** Reads the configuration in addition to following its changes. */
  void refresh() {
    table.refresh();
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

  /** Logs when the configuration can be out of date, and when it is confirmed again. */
  private void checkAge() {
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

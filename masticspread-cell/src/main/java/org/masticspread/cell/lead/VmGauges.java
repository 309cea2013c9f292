package org.masticspread.cell.lead;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.masticspread.cell.engine.Cell;
import org.masticspread.model.cell.CellConfig;

/** The gauges of a VM. They are read on another thread, so their values may be slightly stale. */
final class VmGauges {
  private VmGauges() {}

  static void register(MetricRegistry registry, Vm vm) {
    gauge(registry, "vm.leads", () -> vm.cell().isPresent() ? 1 : 0);
    gauge(registry, "vm.hears.leader", () -> vm.leaderReachable() ? 1 : 0);
    gauge(registry, "vm.epoch", vm::epoch);
    gauge(registry, "config.version", () -> vm.config().map(CellConfig::version).orElse(0L));
    gauge(registry, "config.age.ms", vm::configAgeMillis);
    gauge(registry, "workers.age.ms", vm::workerRegistryAgeMillis);
    gauge(registry, "store.failing.ms", vm::storeFailingMillis);
    gauge(registry, "cell.jobs.open", () -> vm.cell().map(Cell::openJobs).orElse(0));
    gauge(registry, "cell.workers", () -> vm.cell().map(Cell::workers).orElse(0));
    gauge(registry, "cell.workers.usable", () -> vm.cell().map(Cell::usableWorkers).orElse(0));
  }

  private static void gauge(MetricRegistry registry, String name, Gauge<Number> gauge) {
    registry.gauge(name, () -> gauge);
  }
}

package org.masticspread.ctl.command.watch;

import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import org.masticspread.ctl.client.NodeStatus;
import org.masticspread.ctl.output.Table;
import org.masticspread.model.peer.HomeDigest;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.resource.ResourceVector;

/** Prints the state of the cell: its VMs, its racks and their usage. */
final class StatusPrinter {
  private StatusPrinter() {}

  static void print(PrintWriter out, NodeStatus status) {
    String shards = status.shardsOwned() + "/" + status.shardsTotal() + " work shards owned";
    String ready = status.ready() ? "ready" : "NOT READY";
    out.println(
        status.vm() + ": " + ready + ", revision " + status.configRevision() + ", " + shards);
    printVms(out, status.vms());
    printRacks(out, status.vms());
  }

  private static void printVms(PrintWriter out, List<NodeStatus.Vm> vms) {
    Table table =
        Table.of(
            "VM",
            "LIFE",
            "REVISION",
            "STORE",
            "STATE",
            "AGE",
            "SHARDS",
            "RACKS",
            "SLOTS",
            "QUEUED",
            "ANSWERS/S");
    for (NodeStatus.Vm vm : vms) {
      HomeDigest home = vm.home() == null ? new HomeDigest(0, 0, 0, 0) : vm.home();
      table.row(
          vm.vm(),
          vm.incarnation(),
          vm.configRevision(),
          vm.storeReached() ? "reached" : "LOST",
          vm.stopping() ? "stopping" : "running",
          vm.ageMs() + "ms",
          vm.shards().size(),
          vm.racks().size(),
          home.busy() + "/" + home.slots(),
          home.queued(),
          String.format(Locale.ROOT, "%.1f", home.perSecond()));
    }
    table.print(out);
  }

  private static void printRacks(PrintWriter out, List<NodeStatus.Vm> vms) {
    Table table =
        Table.of("RACK", "OWNER", "EPOCH", "CORES USED", "MEMORY USED", "ACCELERATORS", "TEAMS");
    for (NodeStatus.Vm vm : vms) {
      for (RackDigest rack : vm.racks()) {
        ResourceVector capacity = rack.capacity();
        ResourceVector free = rack.free();
        table.row(
            rack.rack(),
            vm.vm(),
            rack.epoch(),
            percent(capacity.millicores() - free.millicores(), capacity.millicores()),
            percent(capacity.memoryBytes() - free.memoryBytes(), capacity.memoryBytes()),
            (capacity.accelerators() - free.accelerators()) + "/" + capacity.accelerators(),
            rack.usage().size());
      }
    }
    table.print(out);
  }

  private static String percent(long used, long capacity) {
    return capacity == 0 ? "-" : Math.round(100.0 * used / capacity) + "%";
  }
}

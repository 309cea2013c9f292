package org.masticspread.cell.lead;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticspread.cell.journal.VmRecord;

/** The VMs of the cell, and when each was last heard from. Confined to the VM's thread. */
final class Roster {
  /** A VM probes the leader at least twice in this. */
  private static final Duration HEARD = Duration.ofMillis(2200);

  /** The strongest VM leads, since the leader does most work; the name decides between equals. */
  private static final Comparator<VmRecord> STRONGEST =
      Comparator.comparingDouble((VmRecord vm) -> -vm.strength()).thenComparing(VmRecord::vm);

  private final VmRecord self;
  private final InstantSource clock;
  private final Map<String, VmRecord> vms = new LinkedHashMap<>();
  private final Map<String, Long> heardMillis = new HashMap<>();

  Roster(VmRecord self, InstantSource clock) {
    this.self = self;
    this.clock = clock;
    vms.put(self.vm(), self);
  }

  VmRecord self() {
    return self;
  }

  void put(VmRecord vm) {
    if (!vm.vm().equals(self.vm())) {
      vms.put(vm.vm(), vm);
    }
  }

  void remove(String vm) {
    if (!vm.equals(self.vm())) {
      vms.remove(vm);
    }
  }

  void retain(List<String> names) {
    vms.keySet().removeIf(vm -> !vm.equals(self.vm()) && !names.contains(vm));
  }

  Optional<VmRecord> find(String vm) {
    return Optional.ofNullable(vms.get(vm));
  }

  void heard(String vm) {
    heardMillis.put(vm, clock.millis());
  }

  /** Returns the other VMs, strongest first. */
  List<VmRecord> others() {
    List<VmRecord> others = new ArrayList<>(vms.values());
    others.remove(self);
    others.sort(STRONGEST);
    return others;
  }

  /** Returns the VMs that were heard lately, and this one. */
  List<String> heardLately() {
    List<String> heard = new ArrayList<>();
    long since = clock.millis() - HEARD.toMillis();
    for (String vm : vms.keySet()) {
      if (vm.equals(self.vm()) || heardMillis.getOrDefault(vm, Long.MIN_VALUE) >= since) {
        heard.add(vm);
      }
    }
    return heard;
  }

  /** Returns the place of this VM among some others, 0 for the strongest. */
  int rank(List<VmRecord> others) {
    return (int) others.stream().filter(vm -> STRONGEST.compare(vm, self) < 0).count();
  }
}

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

/** The VMs of the cell and when each was last heard from. Confined to the VM's thread. */
final class Membership {
  /** A VM probes the leader at least twice within this time. */
  private static final Duration RECENTLY_HEARD = Duration.ofMillis(2200);

  /** Bounds the probes of a VM that looks for a newer configuration, whatever the fleet size. */
  private static final int MAX_PROBED = 3;

  /** Strongest first, since the leader does most of the work; ties are broken by name. */
  private static final Comparator<VmRecord> STRONGEST_FIRST =
      Comparator.comparingDouble((VmRecord vm) -> -vm.strength()).thenComparing(VmRecord::vm);

  private final VmRecord self;
  private final InstantSource clock;
  private final Map<String, VmRecord> vms = new LinkedHashMap<>();
  private final Map<String, Long> lastHeardMillis = new HashMap<>();
  private int probeTurn;

  Membership(VmRecord self, InstantSource clock) {
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
    lastHeardMillis.put(vm, clock.millis());
  }

  /** Returns the other VMs, strongest first. */
  List<VmRecord> others() {
    List<VmRecord> others = new ArrayList<>(vms.values());
    others.remove(self);
    others.sort(STRONGEST_FIRST);
    return others;
  }

  /**
   * Returns other VMs to probe: those that were heard from last, and some of the rest in turn, so
   * that each of them comes up after a while.
   */
  List<VmRecord> nextToProbe() {
    List<VmRecord> others = others();
    others.sort(
        Comparator.comparingLong(
            (VmRecord vm) -> -lastHeardMillis.getOrDefault(vm.vm(), Long.MIN_VALUE / 2)));
    List<VmRecord> chosen = new ArrayList<>(others.subList(0, Math.min(MAX_PROBED, others.size())));
    List<VmRecord> rest = others.subList(chosen.size(), others.size());
    for (int i = 0; i < Math.min(MAX_PROBED, rest.size()); i++) {
      chosen.add(rest.get(Math.floorMod(probeTurn++, rest.size())));
    }
    return chosen;
  }

  /** Returns the VMs that were heard from recently, and this one. */
  List<String> recentlyHeard() {
    List<String> heard = new ArrayList<>();
    long since = clock.millis() - RECENTLY_HEARD.toMillis();
    for (String vm : vms.keySet()) {
      if (vm.equals(self.vm()) || lastHeardMillis.getOrDefault(vm, Long.MIN_VALUE) >= since) {
        heard.add(vm);
      }
    }
    return heard;
  }

  /** Returns the rank of this VM among others by strength, 0 for the strongest. */
  int rank(List<VmRecord> others) {
    return (int) others.stream().filter(vm -> STRONGEST_FIRST.compare(vm, self) < 0).count();
  }
}

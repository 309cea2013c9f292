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
import java.util.Set;
import java.util.stream.Collectors;
import org.masticspread.cell.journal.VmRecord;
import org.masticspread.cell.policy.LeaderOrder;

/** The VMs of the cell and when each was last heard from. Confined to the VM's thread. */
final class Membership {
  /** A VM probes the leader at least twice within this time. */
  private static final Duration RECENTLY_HEARD = Duration.ofMillis(2200);

  /** Bounds the probes of a VM that looks for a newer configuration, whatever the fleet size. */
  private static final int MAX_PROBED = 3;

  private VmRecord self;
  private final InstantSource clock;
  private final Map<String, VmRecord> vms = new LinkedHashMap<>();
  private final Map<String, Long> lastHeardMillis = new HashMap<>();
  private volatile Set<String> hostsOfOtherRegions = Set.of();
  private int probeTurn;

  Membership(VmRecord self, InstantSource clock) {
    this.self = self;
    this.clock = clock;
    vms.put(self.vm(), self);
  }

  VmRecord self() {
    return self;
  }

  /** Records how long the store takes to answer this VM, in ms; 0 if it was not measured. */
  void storeMeasured(long millis) {
    self = self.withStoreMillis(millis);
    vms.put(self.vm(), self);
  }

  void put(VmRecord vm) {
    if (!vm.vm().equals(self.vm())) {
      vms.put(vm.vm(), vm);
      findHostsOfOtherRegions();
    }
  }

  private void findHostsOfOtherRegions() {
    hostsOfOtherRegions =
        vms.values().stream()
            .filter(vm -> !vm.region().equals(self.region()))
            .map(vm -> vm.address().substring(0, Math.max(0, vm.address().lastIndexOf(':'))))
            .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the hosts of the VMs in other regions; may be read on any thread. */
  Set<String> hostsOfOtherRegions() {
    return hostsOfOtherRegions;
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

  /** Returns the order in which VMs should lead, best first. */
  Comparator<VmRecord> leaderOrder() {
    return LeaderOrder.of(vms.values());
  }

  /** Returns the order by nearness to the store alone. */
  Comparator<VmRecord> farLast() {
    return LeaderOrder.farLast(vms.values());
  }

  /** Returns the other VMs, the best leader first. */
  List<VmRecord> others() {
    List<VmRecord> others = new ArrayList<>(vms.values());
    others.remove(self);
    others.sort(leaderOrder());
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

  /**
   * Returns the VMs that were heard from recently, and this one; those of other regions last, so
   * that calls for advice go over the link between regions only when the others are busy.
   */
  List<String> recentlyHeard() {
    List<String> heard = new ArrayList<>();
    long since = clock.millis() - RECENTLY_HEARD.toMillis();
    for (String vm : vms.keySet()) {
      if (vm.equals(self.vm()) || lastHeardMillis.getOrDefault(vm, Long.MIN_VALUE) >= since) {
        heard.add(vm);
      }
    }
    heard.sort(Comparator.comparing(vm -> !vms.get(vm).region().equals(self.region())));
    return heard;
  }

  /** Returns the rank of this VM among others as a leader, 0 for the best. */
  int rank(List<VmRecord> others) {
    Comparator<VmRecord> order = leaderOrder();
    return (int) others.stream().filter(vm -> order.compare(vm, self) < 0).count();
  }
}

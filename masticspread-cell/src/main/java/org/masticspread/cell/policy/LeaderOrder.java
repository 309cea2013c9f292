package org.masticspread.cell.policy;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.masticspread.cell.journal.VmRecord;

/**
 * Decides which VM should lead: one in the region of the store, and among those the strongest, as
 * the leader does most of the work. A leader in another region waits a round trip between the
 * regions (40 ms) for each commit, and its traffic with the store takes up the link.
 *
 * <p>No setting names the region of the store, so it is found by the latencies that VMs measured. A
 * region is as near as its fastest VM: load makes a VM slower than its region, and nothing makes it
 * faster. With one region the latencies are not used.
 *
 * <pre>{@code
 * List<VmRecord> ranked = vms.stream().sorted(LeaderOrder.of(vms)).toList();
 * }</pre>
 */
public final class LeaderOrder {
  /**
   * Regions whose fastest VMs differ by less are equally near. A round trip takes 2.8 ms between
   * data centres of a region, and 40 ms between regions.
   */
  static final Duration SAME_DISTANCE = Duration.ofMillis(12);

  private static final Comparator<VmRecord> STRONGEST_FIRST =
      Comparator.comparingDouble((VmRecord vm) -> -vm.strength()).thenComparing(VmRecord::vm);

  private LeaderOrder() {}

  /**
   * Returns the order in which VMs should lead, best first. VMs that know the same records get the
   * same order.
   *
   * @param vms all registered VMs
   * @return the order; ties are broken by name
   */
  public static Comparator<VmRecord> of(Collection<VmRecord> vms) {
    return farLast(vms).thenComparing(STRONGEST_FIRST);
  }

  /**
   * Returns the order by nearness alone: VMs in the region of the store are equal, and before all
   * others.
   *
   * @param vms all registered VMs
   * @return the order; all VMs are equal where there is one region, or none was measured
   */
  public static Comparator<VmRecord> farLast(Collection<VmRecord> vms) {
    Set<String> near = nearRegions(vms);
    return Comparator.comparing(vm -> !near.isEmpty() && !near.contains(vm.region()));
  }

  /** Returns the regions near the store; empty unless at least two regions have measured it. */
  private static Set<String> nearRegions(Collection<VmRecord> vms) {
    Map<String, Long> fastest = new HashMap<>();
    vms.stream()
        .filter(vm -> vm.storeMillis() > 0)
        .forEach(vm -> fastest.merge(vm.region(), vm.storeMillis(), Math::min));
    if (fastest.size() < 2) {
      return Set.of();
    }
    long nearest = fastest.values().stream().mapToLong(Long::longValue).min().orElseThrow();
    return fastest.entrySet().stream()
        .filter(entry -> entry.getValue() - nearest < SAME_DISTANCE.toMillis())
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }
}

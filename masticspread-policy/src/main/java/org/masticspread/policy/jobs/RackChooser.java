package org.masticspread.policy.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.policy.placement.internal.Vectors;

/**
 * Chooses racks for tasks by their digests. Considers only a random sample of the racks, so that
 * many VMs with the same digests do not all choose the same rack. Guarded by the lock of the queue.
 */
final class RackChooser {
  private static final int SAMPLE_SIZE = 4;

  private final SplittableRandom random;
  private final Map<RackId, RackView> views = new HashMap<>();
  private final Map<RackId, DataCentreId> dataCentres = new HashMap<>();
  private final Map<RackId, Set<PoolId>> pools = new HashMap<>();
  private final Map<PoolId, List<RackView>> byPool = new HashMap<>();
  private final Map<PoolId, ResourceVector> largestWorkers = new HashMap<>();

  RackChooser(long seed) {
    random = new SplittableRandom(seed);
  }

  void configure(Configuration configuration) {
    dataCentres.clear();
    pools.clear();
    largestWorkers.clear();
    for (WorkerConfig worker : configuration.workers()) {
      dataCentres.put(worker.rack(), worker.dataCentre());
      pools.computeIfAbsent(worker.rack(), k -> new HashSet<>()).add(worker.pool());
      largestWorkers.merge(worker.pool(), worker.capacity(), Vectors::max);
    }
  }

  ResourceVector largestWorker(PoolId pool) {
    return largestWorkers.getOrDefault(pool, ResourceVector.ZERO);
  }

  void update(Collection<RackDigest> digests) {
    Set<RackId> present = new HashSet<>();
    byPool.clear();
    for (RackDigest digest : digests) {
      present.add(digest.rack());
      RackView view = views.computeIfAbsent(digest.rack(), k -> new RackView(digest));
      view.update(digest);
      for (PoolId pool : pools.getOrDefault(digest.rack(), Set.of())) {
        byPool.computeIfAbsent(pool, k -> new ArrayList<>()).add(view);
      }
    }
    views.keySet().retainAll(present);
  }

  ResourceVector capacity(PoolId pool) {
    return byPool.getOrDefault(pool, List.of()).stream()
        .map(RackView::capacity)
        .reduce(ResourceVector.ZERO, ResourceVector::plus);
  }

  Map<TeamId, ResourceVector> usage() {
    Map<TeamId, ResourceVector> usage = new HashMap<>();
    views.values().forEach(view -> view.addUsage(usage));
    return usage;
  }

  RackView view(RackId rack) {
    return views.get(rack);
  }

  /** Returns the rack for the next task of a job, or null if no rack has room. */
  RackView choose(WaitingJob job, PoolId pool) {
    List<RackView> racks = byPool.getOrDefault(pool, List.of());
    boolean service = job.spec.kind() == JobKind.SERVICE;
    ServiceSpread spread = service ? new ServiceSpread(job) : null;
    int maxCandidates = service ? racks.size() : SAMPLE_SIZE;
    int start = racks.isEmpty() ? 0 : random.nextInt(racks.size());
    RackView best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    int candidates = 0;
    for (int i = 0; i < racks.size() && candidates < maxCandidates; i++) {
      RackView view = racks.get((start + i) % racks.size());
      if (!view.fits(job.size)) {
        continue;
      }
      candidates++;
      double cost = view.cost(job.size) + (service ? spread.cost(view.rack()) : 0);
      if (cost < bestCost) {
        best = view;
        bestCost = cost;
      }
    }
    return best;
  }

  /** Counts the tasks of a service by rack and data centre, to spread them. */
  private final class ServiceSpread {
    private static final double DATA_CENTRE_WEIGHT = 1000;
    private static final double RACK_WEIGHT = 20;

    private final Map<RackId, Integer> byRack = new HashMap<>();
    private final Map<DataCentreId, Integer> byDataCentre = new HashMap<>();

    private ServiceSpread(WaitingJob job) {
      for (RackId rack : job.assigned.values()) {
        byRack.merge(rack, 1, Integer::sum);
        byDataCentre.merge(dataCentres.get(rack), 1, Integer::sum);
      }
    }

    private double cost(RackId rack) {
      int inDataCentre = byDataCentre.getOrDefault(dataCentres.get(rack), 0);
      return DATA_CENTRE_WEIGHT * inDataCentre + RACK_WEIGHT * byRack.getOrDefault(rack, 0);
    }
  }
}

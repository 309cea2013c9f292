package org.masticspread.policy.placement.internal;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.WorkerId;

/** The workers on which jobs failed recently. Guarded by the lock of the ledger. */
public final class RecentFailures {
  private static final int MAX_JOBS = 1024;

  private final Map<JobKey, Set<WorkerId>> workers =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<JobKey, Set<WorkerId>> eldest) {
          return size() > MAX_JOBS;
        }
      };

  /**
   * Records a failure.
   *
   * @param job the job
   * @param worker the worker
   */
  public void add(JobKey job, WorkerId worker) {
    workers.computeIfAbsent(job, k -> new HashSet<>()).add(worker);
  }

  /**
   * Returns the workers on which a job failed.
   *
   * @param job the job
   * @return the workers; empty if it has not failed recently
   */
  public Set<WorkerId> of(JobKey job) {
    return workers.getOrDefault(job, Set.of());
  }
}

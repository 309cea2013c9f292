package org.masticspread.policy.placement;

import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;

/**
 * Detects jobs that can never run: jobs whose tasks are larger than any worker of their pool, gangs
 * larger than the whole pool, and jobs larger than the quota of their team.
 *
 * <p>Example: {@code FitCheck.check(configuration, spec).ifPresent(refusal -> ...);}
 */
public final class FitCheck {
  /**
   * The reason why a job can never run.
   *
   * @param code {@code FITS_NOWHERE}, {@code QUOTA_EXCEEDED} or {@code NOT_FOUND}
   * @param resource the insufficient resource; empty if no single resource is insufficient
   * @param detail the explanation, as a short sentence
   */
  public record Refusal(ResultCode code, String resource, String detail) {}

  private record Resource(String name, ToLongFunction<ResourceVector> amount) {}

  private static final List<Resource> RESOURCES =
      List.of(
          new Resource("millicores", ResourceVector::millicores),
          new Resource("memoryBytes", ResourceVector::memoryBytes),
          new Resource("accelerators", ResourceVector::accelerators));

  private FitCheck() {}

  /**
   * Checks a job against the empty workers of its pool and against the quota of its team.
   *
   * @param configuration the configuration
   * @param spec the job
   * @return the reason why it can never run, or empty if it can run
   */
  public static Optional<Refusal> check(Configuration configuration, JobSpec spec) {
    Optional<TeamConfig> team = configuration.team(spec.key().team());
    if (team.isEmpty()) {
      String detail = "team: there is no team " + spec.key().team();
      return Optional.of(new Refusal(ResultCode.NOT_FOUND, "", detail));
    }
    List<ResourceVector> workers =
        configuration.workers().stream()
            .filter(w -> w.pool().equals(team.get().pool()))
            .filter(w -> w.state() == EndpointState.ACTIVE)
            .map(WorkerConfig::capacity)
            .toList();
    return checkWorkers(workers, spec)
        .or(() -> checkGang(workers, spec))
        .or(() -> checkQuota(team.get().quota(), spec));
  }

  private static Optional<Refusal> checkWorkers(List<ResourceVector> workers, JobSpec spec) {
    ResourceVector size = spec.perTask();
    if (workers.stream().anyMatch(size::fitsIn)) {
      return Optional.empty();
    }
    for (Resource resource : RESOURCES) {
      long wanted = resource.amount().applyAsLong(size);
      long largest = workers.stream().mapToLong(resource.amount()).max().orElse(0);
      if (wanted > largest) {
        return refuse(resource, "the largest worker of the pool has " + largest, wanted);
      }
    }
    String detail = "perTask: no single worker of the pool has all of " + size;
    return Optional.of(new Refusal(ResultCode.FITS_NOWHERE, "", detail));
  }

  private static Optional<Refusal> checkGang(List<ResourceVector> workers, JobSpec spec) {
    if (spec.kind() != JobKind.GANG) {
      return Optional.empty();
    }
    long fitting = 0;
    for (ResourceVector worker : workers) {
      fitting += fittingTasks(spec.perTask(), worker);
    }
    if (fitting >= spec.tasks()) {
      return Optional.empty();
    }
    String detail =
        "tasks: the empty pool has room for " + fitting + " of " + spec.tasks() + " tasks";
    return Optional.of(new Refusal(ResultCode.FITS_NOWHERE, "tasks", detail));
  }

  private static long fittingTasks(ResourceVector size, ResourceVector worker) {
    long fitting = Integer.MAX_VALUE;
    for (Resource resource : RESOURCES) {
      long wanted = resource.amount().applyAsLong(size);
      if (wanted > 0) {
        fitting = Math.min(fitting, resource.amount().applyAsLong(worker) / wanted);
      }
    }
    return fitting;
  }

  private static Optional<Refusal> checkQuota(ResourceVector quota, JobSpec spec) {
    if (quota == null) {
      return Optional.empty();
    }
    long concurrentTasks = spec.kind() == JobKind.BATCH ? 1 : spec.tasks();
    for (Resource resource : RESOURCES) {
      long wanted =
          multiplySaturated(resource.amount().applyAsLong(spec.perTask()), concurrentTasks);
      long allowed = resource.amount().applyAsLong(quota);
      if (wanted > allowed) {
        String detail =
            resource.name() + ": the quota of the team is " + allowed + ", the job needs " + wanted;
        return Optional.of(new Refusal(ResultCode.QUOTA_EXCEEDED, resource.name(), detail));
      }
    }
    return Optional.empty();
  }

  private static long multiplySaturated(long amount, long times) {
    return amount > Long.MAX_VALUE / times ? Long.MAX_VALUE : amount * times;
  }

  private static Optional<Refusal> refuse(Resource resource, String limit, long wanted) {
    String detail = resource.name() + ": " + limit + ", a task needs " + wanted;
    return Optional.of(new Refusal(ResultCode.FITS_NOWHERE, resource.name(), detail));
  }
}

package org.masticspread.ctl.questionnaire;

import java.time.Duration;
import java.util.List;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.Urgency;

/**
 * The answers of a team about its work.
 *
 * @param team the team
 * @param pool the pool that serves it
 * @param agreedPart the fraction of the pool agreed for the team, from 0 to 1; null if none was
 *     agreed
 * @param work the kinds of work of the team, at least one
 */
public record Answers(TeamId team, PoolId pool, Double agreedPart, List<Work> work) {

  /** Copies the list. */
  public Answers {
    work = List.copyOf(work);
  }

  /** The place where work runs. */
  public enum Place {
    /** As requests on endpoints. */
    EXECUTORS,
    /** As jobs on workers. */
    WORKERS
  }

  /**
   * One kind of work.
   *
   * @param name the name of its work class
   * @param place where it runs
   * @param urgency how soon it must be served
   * @param within the time limit: for answering a request, for starting an urgent or normal job,
   *     and for completing a deferrable job
   * @param atMostOnce whether running a request or job twice would do harm
   * @param size the size of one request or job
   * @param takes the run time of one request or job
   * @param ratePerSecond arrivals per second at the peak
   * @param floodPart the fraction of it that must keep running during a flood of other work, from 0
   *     to 1
   */
  public record Work(
      WorkClassId name,
      Place place,
      Urgency urgency,
      Duration within,
      boolean atMostOnce,
      Size size,
      Duration takes,
      double ratePerSecond,
      double floodPart) {

    /**
     * Returns the mean number in progress at the peak: the arrival rate times the run time.
     *
     * @return the mean number of requests or jobs in progress
     */
    public double inProgress() {
      return ratePerSecond * takes.toNanos() / Duration.ofSeconds(1).toNanos();
    }
  }

  /**
   * The size of one request or job.
   *
   * @param largestBodyBytes the size of the largest request body; 0 for jobs
   * @param perTask the resources that each task of a job occupies; zero for requests
   * @param tasks the number of tasks of a job; 1 for requests
   * @param together whether all tasks of a job must start together
   */
  public record Size(long largestBodyBytes, ResourceVector perTask, int tasks, boolean together) {

    /**
     * Returns the size of a request.
     *
     * @param largestBodyBytes the size of the largest body
     * @return the size
     */
    public static Size ofRequest(long largestBodyBytes) {
      return new Size(largestBodyBytes, ResourceVector.ZERO, 1, false);
    }
  }
}

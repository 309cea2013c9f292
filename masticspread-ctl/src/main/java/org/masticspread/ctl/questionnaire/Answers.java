package org.masticspread.ctl.questionnaire;

import java.time.Duration;
import java.util.List;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.Urgency;

/**
 * What a team tells about its work.
 *
 * @param team the team
 * @param pool the pool that serves it
 * @param agreedPart the part of the pool that was agreed, from 0 to 1; null when none was
 * @param work its kinds of work, at least one
 */
public record Answers(TeamId team, PoolId pool, Double agreedPart, List<Work> work) {

  /** Copies the list. */
  public Answers {
    work = List.copyOf(work);
  }

  /** Where work runs. */
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
   * @param within the time within which a request is answered, a job of urgent or normal work
   *     started, and a job of deferrable work done
   * @param atMostOnce whether doing a piece twice would do harm
   * @param size what one request or job needs
   * @param takes how long one takes to run
   * @param ratePerSecond arrivals per second at the peak
   * @param floodPart the part of it that must keep running in a flood, from 0 to 1
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
     * Returns how many run at the same time at the peak, by arrivals times run time.
     *
     * @return the mean number of requests or jobs in progress
     */
    public double inProgress() {
      return ratePerSecond * takes.toNanos() / Duration.ofSeconds(1).toNanos();
    }
  }

  /**
   * What one request or job needs.
   *
   * @param largestBodyBytes the size of the largest request body; 0 for jobs
   * @param perTask what each task of a job holds; zero for requests
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

package org.masticspread.cell.policy;

import java.util.Comparator;

/**
 * The order in which steps that can start are placed: by priority, then by the latest start that
 * still meets the objective of the job. Steps that can no longer meet it go last within their
 * priority, and among these, steps that hold capacity while they ask for tickets go first.
 *
 * <p>During bursts, late work therefore does not delay other work, and late gangs do not take
 * capacity from one another while they wait for tickets.
 */
public final class StartOrder {
  private StartOrder() {}

  /**
   * A step that can start.
   *
   * @param priority the priority of its queue; 0 is the most urgent
   * @param holdsCapacity whether it holds capacity while it asks for tickets
   * @param latestStartMillis the latest start that meets the objective, on the cell's clock
   * @param job the job, as a tie-breaker
   */
  public record Candidate(int priority, boolean holdsCapacity, long latestStartMillis, String job) {
    /** Creates a candidate that holds no capacity. */
    public Candidate(int priority, long latestStartMillis, String job) {
      this(priority, false, latestStartMillis, job);
    }
  }

  /**
   * Returns the order at a given time.
   *
   * @param nowMillis the current time, on the cell's clock
   * @return a comparator that sorts the step to start first to the front
   */
  public static Comparator<Candidate> at(long nowMillis) {
    return Comparator.comparingInt(Candidate::priority)
        .thenComparing(candidate -> candidate.latestStartMillis < nowMillis)
        .thenComparing(
            candidate -> candidate.latestStartMillis < nowMillis && !candidate.holdsCapacity)
        .thenComparingLong(Candidate::latestStartMillis)
        .thenComparing(Candidate::job);
  }
}

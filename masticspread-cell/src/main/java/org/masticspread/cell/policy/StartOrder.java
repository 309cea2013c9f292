package org.masticspread.cell.policy;

import java.util.Comparator;

/**
 * The order in which steps that can start get room: by priority, then by the latest start that
 * still meets the objective of the job; what can meet it no more goes last within its priority.
 * Among the late ones those go first that hold room for which they ask for tickets.
 *
 * <p>Answers bursts: work that is late anyway does not make more work late, and late gangs do not
 * take one another's room in turn while they wait for an answer.
 */
public final class StartOrder {
  private StartOrder() {}

  /**
   * A step that can start.
   *
   * @param priority of its queue, 0 first
   * @param holdsRoom whether it holds room for which it asks for tickets
   * @param latestStartMillis the latest start that meets the objective, on the cell's clock
   * @param job names the job, to order equals
   */
  public record Candidate(int priority, boolean holdsRoom, long latestStartMillis, String job) {
    /** Creates a candidate that holds no room. */
    public Candidate(int priority, long latestStartMillis, String job) {
      this(priority, false, latestStartMillis, job);
    }
  }

  /**
   * Returns the order at a moment.
   *
   * @param nowMillis the moment, on the cell's clock
   * @return the order, first to start first
   */
  public static Comparator<Candidate> at(long nowMillis) {
    return Comparator.comparingInt(Candidate::priority)
        .thenComparing(candidate -> candidate.latestStartMillis < nowMillis)
        .thenComparing(candidate -> candidate.latestStartMillis < nowMillis && !candidate.holdsRoom)
        .thenComparingLong(Candidate::latestStartMillis)
        .thenComparing(Candidate::job);
  }
}

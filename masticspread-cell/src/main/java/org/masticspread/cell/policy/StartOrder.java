package org.masticspread.cell.policy;

import java.util.Comparator;

/**
 * The order in which steps that can start are placed: by priority, then owed work before excess,
 * then by the latest start that still meets the objective of the job. While the owed work does not
 * fit, the steps of teams below their weighted share go before those of the others. Steps that can
 * no longer meet their objective go last within their priority, and among these, steps that hold
 * capacity while they ask for tickets go first.
 *
 * <p>The flood of a large team therefore does not delay the owed work of the others. During bursts,
 * late work does not delay other work, and late gangs do not take capacity from one another while
 * they wait for tickets.
 */
public final class StartOrder {
  private StartOrder() {}

  /**
   * A step that can start.
   *
   * @param priority the priority of its queue; 0 is the most urgent
   * @param excess whether its team submitted the job beyond its weight
   * @param beyondShare whether it would take its team beyond its weighted share, while the owed
   *     work does not fit
   * @param holdsCapacity whether it holds capacity while it asks for tickets
   * @param latestStartMillis the latest start that meets the objective, on the cell's clock
   * @param job the job, as a tie-breaker
   */
  public record Candidate(
      int priority,
      boolean excess,
      boolean beyondShare,
      boolean holdsCapacity,
      long latestStartMillis,
      String job) {
    /** Creates a candidate of owed work within the share of its team. */
    public Candidate(int priority, boolean holdsCapacity, long latestStartMillis, String job) {
      this(priority, false, false, holdsCapacity, latestStartMillis, job);
    }

    /** Creates a candidate of owed work that holds no capacity. */
    public Candidate(int priority, long latestStartMillis, String job) {
      this(priority, false, latestStartMillis, job);
    }

    /** Returns this candidate, beyond the share of its team. */
    public Candidate withBeyondShare() {
      return new Candidate(priority, excess, true, holdsCapacity, latestStartMillis, job);
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
        .thenComparing(Candidate::excess)
        .thenComparing(candidate -> candidate.latestStartMillis < nowMillis)
        .thenComparing(Candidate::beyondShare)
        .thenComparing(
            candidate -> candidate.latestStartMillis < nowMillis && !candidate.holdsCapacity)
        .thenComparingLong(Candidate::latestStartMillis)
        .thenComparing(Candidate::job);
  }
}

package org.masticspread.cell.port;

import java.util.List;

/**
 * The state that a worker reports.
 *
 * @param clockMillis its monotonic clock
 * @param incarnation the start time of this incarnation; 0 if unknown
 * @param running the running tasks
 * @param ended the runs that ended and were not yet acknowledged, by ascending number; the first
 *     ones if there are many
 * @param mayHaveMoreEnded whether runs may have ended that are not listed, so that a run in neither
 *     list may have succeeded
 */
public record WorkerView(
    long clockMillis,
    long incarnation,
    List<Running> running,
    List<Ended> ended,
    boolean mayHaveMoreEnded) {
  /** Copies the lists. */
  public WorkerView {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /**
   * A running task.
   *
   * @param task the full name of the task
   * @param run the number of the run
   * @param checkpoint the newest checkpoint; empty for none
   * @param percent the progress in percent
   * @param reading the tail latency in ms for a serving task; else the millicores in use
   */
  public record Running(String task, long run, String checkpoint, int percent, long reading) {}

  /**
   * A run that ended.
   *
   * @param number the sequence number of this end within the incarnation
   * @param task the full name of the task
   * @param run the number of the run
   * @param kind how the run ended
   * @param checkpoint the newest checkpoint; empty for none
   */
  public record Ended(long number, String task, long run, EndKind kind, String checkpoint) {}

  /** How a run ended. */
  public enum EndKind {
    /** It completed all its work. */
    SUCCEEDED,
    /** It failed, through a fault of the task or of the worker. */
    FAILED,
    /** It was stopped by an order. */
    STOPPED,
    /** The lease of the worker expired. */
    LAPSED,
    /** Another member of its gang ended without success. */
    GANG_BROKEN,
    /** The other members of its gang did not start in time. */
    GANG_INCOMPLETE,
    /** An unknown kind, reported by a newer worker. */
    OTHER
  }
}

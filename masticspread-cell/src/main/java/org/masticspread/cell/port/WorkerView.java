package org.masticspread.cell.port;

import java.util.List;

/**
 * What a worker told about its tasks.
 *
 * @param clockMillis its steady clock
 * @param incarnation when this life of it began; 0 if it said nothing
 * @param running the tasks that it runs
 * @param ended the ends that were not yet acknowledged, by ascending number
 */
public record WorkerView(
    long clockMillis, long incarnation, List<Running> running, List<Ended> ended) {
  /** Copies the lists. */
  public WorkerView {
    running = List.copyOf(running);
    ended = List.copyOf(ended);
  }

  /**
   * A task that runs.
   *
   * @param task its full name
   * @param run the number of this start
   * @param checkpoint the newest checkpoint; empty for none
   * @param percent how much of its work is done
   * @param reading the tail of response times in ms of a serving task; else the millicores in use
   */
  public record Running(String task, long run, String checkpoint, int percent, long reading) {}

  /**
   * A run that ended.
   *
   * @param number counts the ends of this life
   * @param task its full name
   * @param run the number of that start
   * @param kind how it ended
   * @param checkpoint the newest checkpoint; empty for none
   */
  public record Ended(long number, String task, long run, EndKind kind, String checkpoint) {}

  /** How a run ended. */
  public enum EndKind {
    /** All its work is done. */
    SUCCEEDED,
    /** It failed, through its own fault or the worker's. */
    FAILED,
    /** It was stopped by order. */
    STOPPED,
    /** The worker's lease expired. */
    LAPSED,
    /** Another member of its gang ended. */
    GANG_BROKEN,
    /** The other members of its gang did not come in time. */
    GANG_INCOMPLETE,
    /** A kind that this version does not know. */
    OTHER
  }
}

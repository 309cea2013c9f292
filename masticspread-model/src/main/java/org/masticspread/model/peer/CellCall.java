package org.masticspread.model.peer;

import org.masticspread.model.cell.JobOrder;

/**
 * A caller's call about a job, passed to the VM that leads the cell. Answered by {@link CellReply}.
 *
 * @param action what is asked for
 * @param queue the queue
 * @param configVersion the configuration by which the sender matched the call to the queue
 * @param job the job's id; empty for a count
 * @param order the job; null unless it is submitted
 */
public record CellCall(Action action, String queue, long configVersion, String job, JobOrder order)
    implements PeerMessage {

  /** What a caller asks for. */
  public enum Action {
    /** Accept a job. */
    SUBMIT,
    /** Show the state of a job. */
    SHOW,
    /** Cancel a job. */
    CANCEL,
    /** Count the accepted jobs of a queue that have not started. */
    COUNT
  }
}

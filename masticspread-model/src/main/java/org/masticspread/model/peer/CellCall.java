package org.masticspread.model.peer;

import org.masticspread.model.cell.JobOrder;

/**
 * The call of a client about a job, forwarded to the VM that leads the cell. Answered by {@link
 * CellReply}.
 *
 * @param action the requested action
 * @param queue the queue
 * @param configVersion the version of the configuration by which the sender chose the queue
 * @param job the id of the job; empty for a count
 * @param order the job; null unless the action is {@link Action#SUBMIT}
 * @param team the name of the team that calls; empty for none
 */
public record CellCall(
    Action action, String queue, long configVersion, String job, JobOrder order, String team)
    implements PeerMessage {

  /** Reads the team as empty if the sender omitted it. */
  public CellCall {
    team = team == null ? "" : team;
  }

  /** Creates a call of no team. */
  public CellCall(Action action, String queue, long configVersion, String job, JobOrder order) {
    this(action, queue, configVersion, job, order, "");
  }

  /** The action requested by a caller. */
  public enum Action {
    /** Submits a job. */
    SUBMIT,
    /** Shows the state of a job. */
    SHOW,
    /** Cancels a job. */
    CANCEL,
    /** Counts the accepted jobs of a queue that have not started. */
    COUNT
  }
}

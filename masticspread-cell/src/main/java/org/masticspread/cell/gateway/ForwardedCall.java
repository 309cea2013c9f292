package org.masticspread.cell.gateway;

import java.util.function.Consumer;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellReply;

/** A call that is forwarded to the leader, possibly in several attempts. */
final class ForwardedCall {
  final CellCall call;
  final long startMillis;

  /** Lower ranks go first: all calls but submissions, then by the priority of the queue. */
  final int rank;

  private final long leaderDeadlineMillis;
  private final long callerDeadlineMillis;
  private final Consumer<CellReply> reply;

  /** The number of attempts that are still unanswered. */
  int inFlight;

  /** Whether an attempt that is over may have been accepted by a leader. */
  boolean maybeAccepted;

  private boolean completed;

  ForwardedCall(
      CellCall call,
      int rank,
      long startMillis,
      long leaderDeadlineMillis,
      long callerDeadlineMillis,
      Consumer<CellReply> reply) {
    this.call = call;
    this.rank = rank;
    this.startMillis = startMillis;
    this.leaderDeadlineMillis = leaderDeadlineMillis;
    this.callerDeadlineMillis = callerDeadlineMillis;
    this.reply = reply;
  }

  boolean isRead() {
    return call.action() == CellCall.Action.SHOW;
  }

  boolean completed() {
    return completed;
  }

  /** Tells whether the call may have taken effect; a call that only reads has none. */
  boolean mayHaveEffect() {
    return !isRead() && (maybeAccepted || inFlight > 0);
  }

  /** Returns the time left for attempts; longer if the call may already have taken effect. */
  long remainingMillis(long nowMillis) {
    return (mayHaveEffect() ? callerDeadlineMillis : leaderDeadlineMillis) - nowMillis;
  }

  /** Returns how long the caller still waits. */
  long callerRemainingMillis(long nowMillis) {
    return callerDeadlineMillis - nowMillis;
  }

  /** Answers the caller; later answers are ignored. */
  void complete(CellReply answer) {
    if (!completed) {
      completed = true;
      reply.accept(answer);
    }
  }
}

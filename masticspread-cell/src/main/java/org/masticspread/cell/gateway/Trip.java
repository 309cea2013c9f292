package org.masticspread.cell.gateway;

import java.util.function.Consumer;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellReply;

/** One call on its way to the leader. */
final class Trip {
  final CellCall call;
  final long begunMillis;

  /** Lower goes first: what only reads, then by the priority of its queue. */
  final int rank;

  private final long searchUntilMillis;
  private final long untilMillis;
  private final Consumer<CellReply> reply;

  /** Attempts without an answer. */
  int open;

  /** Whether an attempt that has ended may have been accepted. */
  boolean maybeTaken;

  private boolean ended;

  Trip(
      CellCall call,
      int rank,
      long begunMillis,
      long searchUntilMillis,
      long untilMillis,
      Consumer<CellReply> reply) {
    this.call = call;
    this.rank = rank;
    this.begunMillis = begunMillis;
    this.searchUntilMillis = searchUntilMillis;
    this.untilMillis = untilMillis;
    this.reply = reply;
  }

  boolean reads() {
    return call.action() == CellCall.Action.SHOW;
  }

  boolean ended() {
    return ended;
  }

  /** Tells whether the call may have taken effect; one that only reads takes none. */
  boolean mayHaveEffect() {
    return !reads() && (maybeTaken || open > 0);
  }

  /** Returns how long to go on; only one that may have taken effect goes on to the end. */
  long left(long nowMillis) {
    return (mayHaveEffect() ? untilMillis : searchUntilMillis) - nowMillis;
  }

  /** Returns how long the caller waits. */
  long patience(long nowMillis) {
    return untilMillis - nowMillis;
  }

  /** Answers the caller, once. */
  void end(CellReply answer) {
    if (!ended) {
      ended = true;
      reply.accept(answer);
    }
  }
}

package org.masticspread.state.ownership;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.platform.Condition;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.state.format.StateKeys;
import org.masticspread.state.internal.Rendezvous;
import org.masticspread.state.ownership.ShardTable.Versioned;
import org.masticspread.state.session.FenceRow;
import org.masticspread.state.session.SessionRow;
import org.masticspread.state.session.SessionState;
import org.masticspread.state.session.SessionView;

/**
 * Deletes the rows of ended incarnations that no shard row refers to. The fence row is marked as
 * collected before the first journal row is deleted, so that an incarnation that reads back a row
 * with a lost answer can distinguish "never written" from "deleted".
 */
final class JournalCollector {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int ROWS_PER_STEP = 100;
  private static final int MIN_UNREFERENCED_ROUNDS = 5;

  private final TableService table;
  private Map<VmIncarnation, Integer> unreferencedRounds = new HashMap<>();

  JournalCollector(TableService table) {
    this.table = table;
  }

  /**
   * Deletes a batch of rows for each incarnation that is assigned to this VM and that no shard row
   * has referred to for more than {@link #MIN_UNREFERENCED_ROUNDS} rounds, so that a single stale
   * read deletes nothing.
   *
   * @param sessions the sessions; they must be read before the shard rows, because an ended
   *     incarnation can't become the owner or a source of a shard any more
   */
  void collect(
      SessionView sessions, Collection<Versioned> rows, Set<VmId> eligible, VmIncarnation self) {
    Map<VmIncarnation, Integer> next = new HashMap<>();
    for (SessionRow session : sessions.sessions().values()) {
      VmIncarnation ended = session.incarnation();
      boolean unreferenced =
          session.state() != SessionState.OPEN
              && rows.stream().noneMatch(row -> row.row().refersTo(ended));
      if (!unreferenced) {
        continue;
      }
      int rounds = unreferencedRounds.getOrDefault(ended, 0) + 1;
      next.put(ended, rounds);
      boolean assignedToSelf =
          Rendezvous.owner("collect-" + ended, eligible).filter(self.vm()::equals).isPresent();
      if (assignedToSelf && rounds > MIN_UNREFERENCED_ROUNDS) {
        step(ended);
      }
    }
    unreferencedRounds = next;
  }

  /** Returns whether an ended incarnation is still to be deleted. */
  boolean hasPending() {
    return !unreferencedRounds.isEmpty();
  }

  private void step(VmIncarnation ended) {
    try {
      Optional<Row> fence = table.read(StateKeys.fence(ended));
      if (fence.isPresent() && FenceRow.read(table, ended) != SessionState.COLLECTED) {
        Condition unchanged = new Condition(fence.get().key(), fence.get().version());
        table.commit(
            new Transaction(
                List.of(unchanged), List.of(FenceRow.write(ended, SessionState.COLLECTED))));
      }
      List<Row> journal = table.scan(StateKeys.journal(ended), "", ROWS_PER_STEP);
      List<Mutation> deletes = journal.stream().map(r -> Mutation.delete(r.key())).toList();
      if (deletes.isEmpty()) {
        deletes =
            List.of(
                Mutation.delete(StateKeys.session(ended)), Mutation.delete(StateKeys.fence(ended)));
        LOG.atInfo().log("ownership: deleted all rows of ended incarnation %s", ended);
      }
      table.commit(new Transaction(List.of(), deletes));
    } catch (MasticspreadException e) {
      LOG.atWarning().log(
          "ownership: deleting rows of ended incarnation %s failed: %s", ended, e.getMessage());
    }
  }
}

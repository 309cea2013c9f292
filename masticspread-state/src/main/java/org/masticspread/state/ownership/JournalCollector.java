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
 * collected before the first journal row goes, so that an incarnation that reads a lost row back
 * can tell "never written" from "deleted".
 */
final class JournalCollector {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int ROWS_PER_STEP = 100;
  private static final int QUIET_ROUNDS = 5;

  private final TableService table;
  private Map<VmIncarnation, Integer> quietRounds = new HashMap<>();

  JournalCollector(TableService table) {
    this.table = table;
  }

  /**
   * Takes one step for each incarnation that falls to this VM and that no shard row has referred to
   * for some rounds, so that one old read deletes nothing.
   *
   * @param sessions the sessions, read before the shard rows: an ended incarnation can't become the
   *     owner or a source of a shard any more
   */
  void collect(
      SessionView sessions, Collection<Versioned> rows, Set<VmId> eligible, VmIncarnation self) {
    Map<VmIncarnation, Integer> quiet = new HashMap<>();
    for (SessionRow session : sessions.sessions().values()) {
      VmIncarnation ended = session.incarnation();
      boolean unused =
          session.state() != SessionState.OPEN
              && rows.stream().noneMatch(row -> row.row().refersTo(ended));
      if (!unused) {
        continue;
      }
      int rounds = quietRounds.getOrDefault(ended, 0) + 1;
      quiet.put(ended, rounds);
      boolean mine =
          Rendezvous.owner("collect-" + ended, eligible).filter(self.vm()::equals).isPresent();
      if (mine && rounds > QUIET_ROUNDS) {
        step(ended);
      }
    }
    quietRounds = quiet;
  }

  /** Returns whether an ended incarnation waits to be deleted. */
  boolean isBusy() {
    return !quietRounds.isEmpty();
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
        LOG.atInfo().log("ownership: collected %s", ended);
      }
      table.commit(new Transaction(List.of(), deletes));
    } catch (MasticspreadException e) {
      LOG.atWarning().log("ownership: collecting %s: %s", ended, e.getMessage());
    }
  }
}

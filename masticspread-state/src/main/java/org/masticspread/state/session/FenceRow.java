package org.masticspread.state.session;

import java.util.Optional;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.platform.Condition;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.state.format.Envelope;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.format.RecordKind;
import org.masticspread.state.format.StateKeys;

/**
 * The fence row of one VM incarnation. It is written when the session opens and does not change
 * until the session ends, so that every write of the incarnation can be conditional on its first
 * version.
 *
 * @param state the state
 */
public record FenceRow(SessionState state) {
  /** The version of the row while the session is open. */
  public static final long OPEN_VERSION = 1;

  /**
   * Returns the condition that the session of an incarnation is open.
   *
   * @param incarnation the incarnation
   * @return the condition on its fence row
   */
  public static Condition open(VmIncarnation incarnation) {
    return new Condition(StateKeys.fence(incarnation), OPEN_VERSION);
  }

  /**
   * Returns the mutation that writes a fence row.
   *
   * @param incarnation the incarnation
   * @param state the state
   * @return the mutation
   */
  public static Mutation write(VmIncarnation incarnation, SessionState state) {
    return Mutation.put(
        StateKeys.fence(incarnation), Envelope.seal(RecordKind.FENCE, new FenceRow(state)));
  }

  /**
   * Reads the state of a session from its fence row.
   *
   * @param table the table service
   * @param incarnation the incarnation
   * @return the state; {@link SessionState#COLLECTED} if the row is absent
   * @throws StoreException if the service does not answer
   * @throws RecordFormatException if the row can't be read
   */
  public static SessionState read(TableService table, VmIncarnation incarnation)
      throws StoreException, RecordFormatException {
    String key = StateKeys.fence(incarnation);
    Optional<Row> row = table.read(key);
    if (row.isEmpty()) {
      return SessionState.COLLECTED;
    }
    return Envelope.open(key, row.get().value(), RecordKind.FENCE, FenceRow.class).state();
  }
}

package org.masticspread.state.config;

import com.google.common.flogger.FluentLogger;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.masticspread.model.config.AuditEntry;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.platform.Condition;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;
import org.masticspread.state.format.Envelope;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.format.RecordFormatException.Problem;
import org.masticspread.state.format.RecordKind;
import org.masticspread.state.format.StateKeys;
import org.masticspread.state.internal.Scans;

/**
 * The revision log of the configuration. Each change writes the head, the revision and its audit
 * entry in one transaction that is conditional on the version of the head row.
 *
 * <p>Example: {@code log.apply(7, changed, "operator-1", "add team temple-desk")} returns 8, or
 * throws a {@link ConflictException} with the changes that were made first. A change costs two or
 * three reads and one transaction of three rows. Thread-safe.
 */
public final class ConfigLog {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int MAX_ATTEMPTS = 4;

  /**
   * The head row.
   *
   * @param revision the latest revision
   */
  private record Head(long revision) {}

  /**
   * A revision row.
   *
   * @param changeId the unique id of the change, to recognise a write whose answer was lost
   * @param configuration the configuration
   */
  private record Revision(String changeId, Configuration configuration) {}

  private final TableService table;
  private final InstantSource clock;
  private final Supplier<String> changeIds;

  /**
   * Creates a log.
   *
   * @param table the table service
   * @param clock the clock for audit entries
   * @param changeIds a source of unique ids, such as random UUIDs
   */
  public ConfigLog(TableService table, InstantSource clock, Supplier<String> changeIds) {
    this.table = table;
    this.clock = clock;
    this.changeIds = changeIds;
  }

  /**
   * Stores a configuration as the next revision.
   *
   * @param expectedRevision the latest revision that the operator has seen
   * @param configuration the new configuration; its revision is ignored
   * @param who the operator
   * @param what a short description of the change
   * @return the new revision
   * @throws ConflictException if another change was made first; nothing was written
   * @throws StoreException if the store does not answer; the effect of the exception says whether
   *     the change may have been made
   * @throws RecordFormatException if a row can't be read
   */
  public long apply(long expectedRevision, Configuration configuration, String who, String what)
      throws ConflictException, StoreException, RecordFormatException {
    Optional<Row> headRow = table.read(StateKeys.CONFIG_HEAD);
    if (revisionOf(headRow) != expectedRevision) {
      throw new ConflictException(expectedRevision, changesAfter(expectedRevision));
    }
    Configuration before = revision(expectedRevision);
    long next = expectedRevision + 1;
    Configuration after = configuration.withRevision(next);
    String changeId = changeIds.get();
    AuditEntry audit =
        new AuditEntry(
            next,
            clock.instant(),
            who,
            what,
            ConfigDiff.onlyIn(before, after),
            ConfigDiff.onlyIn(after, before));
    Transaction change = change(headRow, new Revision(changeId, after), audit);
    commit(change, expectedRevision, changeId);
    LOG.atInfo().log("config: revision %d by %s: %s", next, who, what);
    return next;
  }

  private static Transaction change(Optional<Row> head, Revision revision, AuditEntry audit) {
    long next = audit.revision();
    long headVersion = head.map(Row::version).orElse(Condition.ABSENT);
    return new Transaction(
        List.of(new Condition(StateKeys.CONFIG_HEAD, headVersion)),
        List.of(
            Mutation.put(
                StateKeys.CONFIG_HEAD, Envelope.seal(RecordKind.CONFIG_HEAD, new Head(next))),
            Mutation.put(
                StateKeys.configRevision(next),
                Envelope.seal(RecordKind.CONFIG_REVISION, revision)),
            Mutation.put(StateKeys.audit(next), Envelope.seal(RecordKind.AUDIT, audit))));
  }

  /**
   * Commits a change and retries it after a lost answer. All attempts are conditional on the same
   * head version, so at most one takes effect.
   */
  private void commit(Transaction change, long expectedRevision, String changeId)
      throws ConflictException, StoreException, RecordFormatException {
    StoreException lostAnswer = null;
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      try {
        table.commit(change);
        return;
      } catch (ConditionFailedException e) {
        resolveFailedCondition(expectedRevision, changeId, lostAnswer);
        return;
      } catch (StoreException e) {
        if (e.effect() == StoreException.Effect.NONE && lostAnswer == null) {
          throw e;
        }
        lostAnswer = e;
      }
    }
    throw lostAnswer;
  }

  private void resolveFailedCondition(
      long expectedRevision, String changeId, StoreException lostAnswer)
      throws ConflictException, StoreException, RecordFormatException {
    try {
      Optional<Revision> winner = readRevision(expectedRevision + 1);
      if (winner.isPresent() && winner.get().changeId().equals(changeId)) {
        return;
      }
    } catch (StoreException e) {
      throw unknownIfLost(lostAnswer, e);
    }
    throw new ConflictException(expectedRevision, changesAfter(expectedRevision));
  }

  private static StoreException unknownIfLost(StoreException lostAnswer, StoreException last) {
    if (lostAnswer == null) {
      return last;
    }
    return new StoreException(StoreException.Effect.UNKNOWN, last.getMessage(), last);
  }

  private List<AuditEntry> changesAfter(long revision)
      throws StoreException, RecordFormatException {
    return decode(Scans.all(table, StateKeys.AUDIT, StateKeys.audit(revision)));
  }

  /**
   * Reads the number of the latest revision.
   *
   * @return the revision; 0 if there was no change yet
   * @throws StoreException if the store does not answer
   * @throws RecordFormatException if the row can't be read
   */
  public long head() throws StoreException, RecordFormatException {
    return revisionOf(table.read(StateKeys.CONFIG_HEAD));
  }

  private static long revisionOf(Optional<Row> head) throws RecordFormatException {
    if (head.isEmpty()) {
      return Configuration.EMPTY.revision();
    }
    Row row = head.get();
    return Envelope.open(row.key(), row.value(), RecordKind.CONFIG_HEAD, Head.class).revision();
  }

  /**
   * Reads a revision of the configuration.
   *
   * @param revision the revision; 0 for the empty configuration
   * @return the configuration
   * @throws StoreException if the store does not answer
   * @throws RecordFormatException if the revision is absent or can't be read
   */
  public Configuration revision(long revision) throws StoreException, RecordFormatException {
    if (revision == Configuration.EMPTY.revision()) {
      return Configuration.EMPTY;
    }
    Optional<Revision> found = readRevision(revision);
    if (found.isEmpty()) {
      String key = StateKeys.configRevision(revision);
      throw new RecordFormatException(
          key, Problem.MISSING, "there is no such configuration revision");
    }
    return found.get().configuration();
  }

  private Optional<Revision> readRevision(long revision)
      throws StoreException, RecordFormatException {
    String key = StateKeys.configRevision(revision);
    Optional<Row> row = table.read(key);
    if (row.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        Envelope.open(key, row.get().value(), RecordKind.CONFIG_REVISION, Revision.class));
  }

  /**
   * Reads the latest audit entries.
   *
   * @param limit the maximum number of entries to return, at least 1
   * @return the entries, newest first
   * @throws StoreException if the store does not answer
   * @throws RecordFormatException if a row can't be read
   */
  public List<AuditEntry> history(int limit) throws StoreException, RecordFormatException {
    long from = Math.max(0, head() - limit);
    List<AuditEntry> entries = new ArrayList<>(changesAfter(from));
    Collections.reverse(entries);
    return entries.subList(0, Math.min(limit, entries.size()));
  }

  private static List<AuditEntry> decode(List<Row> rows) throws RecordFormatException {
    List<AuditEntry> entries = new ArrayList<>();
    for (Row row : rows) {
      entries.add(Envelope.open(row.key(), row.value(), RecordKind.AUDIT, AuditEntry.class));
    }
    return entries;
  }
}

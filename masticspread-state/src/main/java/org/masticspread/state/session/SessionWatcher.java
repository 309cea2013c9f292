package org.masticspread.state.session;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.format.StateKeys;
import org.masticspread.state.internal.Rendezvous;
import org.masticspread.state.internal.Scans;

/**
 * Reads all sessions once per interval and fences those that have expired.
 *
 * <p>A session is fenced when its heartbeat number has not changed for the TTL on the monotonic
 * clock of this VM. Only time in which this VM's own heartbeats succeeded without interruption
 * counts, so a full or partial outage of the store, or the recovery from one, never gets live VMs
 * fenced. An open session of an older incarnation of a VM is fenced at once.
 *
 * <p>Each tick costs one scan per 500 sessions plus one write per fenced session. VMs stagger their
 * attempts by rank, so that they do not all write at once. Example: {@code
 * watcher.tick().openVms()}. Thread-safe.
 */
public final class SessionWatcher {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /**
   * The time at which a heartbeat number was first seen.
   *
   * @param beat the heartbeat number
   * @param seenAt when it was first seen, in monotonic nanoseconds
   */
  private record Observation(long beat, long seenAt) {}

  private final TableService table;
  private final SessionTiming timing;
  private final SessionKeeper self;
  private final LongSupplier nanos;

  private Map<VmIncarnation, Observation> observations = new HashMap<>();
  private volatile SessionView view = SessionView.EMPTY;

  /**
   * Creates a watcher.
   *
   * @param table the table service
   * @param timing the timing of sessions
   * @param self the session of this VM
   * @param nanos the monotonic clock, in nanoseconds
   */
  public SessionWatcher(
      TableService table, SessionTiming timing, SessionKeeper self, LongSupplier nanos) {
    this.table = table;
    this.timing = timing;
    this.self = self;
    this.nanos = nanos;
  }

  /**
   * Reads the sessions and fences those without a heartbeat for the TTL. Call it after each
   * heartbeat.
   *
   * @return the sessions as read; a session fenced in this tick is still reported as open
   * @throws StoreException if the store does not answer the scan
   * @throws RecordFormatException if a row can't be read
   */
  public synchronized SessionView tick() throws StoreException, RecordFormatException {
    List<Row> rows = Scans.all(table, StateKeys.SESSIONS, "");
    long now = nanos.getAsLong();
    Map<VmIncarnation, SessionRow> sessions = new HashMap<>();
    Map<VmIncarnation, Long> versions = new HashMap<>();
    for (Row row : rows) {
      SessionRow session = SessionKeeper.read(row);
      sessions.put(session.incarnation(), session);
      versions.put(session.incarnation(), row.version());
    }
    observe(sessions, now);
    view = new SessionView(sessions);
    if (self.isHeld()) {
      fenceStale(versions);
    }
    return view;
  }

  /**
   * Returns the sessions of the last successful scan.
   *
   * @return the sessions
   */
  public SessionView view() {
    return view;
  }

  private void observe(Map<VmIncarnation, SessionRow> sessions, long now) {
    Map<VmIncarnation, Observation> next = new HashMap<>();
    for (SessionRow session : sessions.values()) {
      Observation before = observations.get(session.incarnation());
      boolean unchanged = before != null && before.beat() == session.beat();
      Observation latest = unchanged ? before : new Observation(session.beat(), now);
      next.put(session.incarnation(), latest);
    }
    observations = next;
  }

  private void fenceStale(Map<VmIncarnation, Long> versions) {
    Set<VmId> open = view.openVms();
    for (SessionRow session : view.sessions().values()) {
      if (session.state() == SessionState.OPEN && isStale(session, open)) {
        fence(session, versions.get(session.incarnation()));
      }
    }
  }

  private boolean isStale(SessionRow session, Set<VmId> open) {
    if (session.incarnation().equals(self.incarnation())) {
      return false;
    }
    if (isReplaced(session.incarnation())) {
      return true;
    }
    Optional<HealthWindow> health = self.health();
    if (health.isEmpty()) {
      return false;
    }
    long seenAt = observations.get(session.incarnation()).seenAt();
    long unchangedNanos = health.get().elapsedSince(seenAt);
    return unchangedNanos >= timing.ttl().toNanos() + staggerNanos(session, open);
  }

  private boolean isReplaced(VmIncarnation incarnation) {
    return view.sessions().keySet().stream()
        .anyMatch(
            other -> other.vm().equals(incarnation.vm()) && other.number() > incarnation.number());
  }

  private long staggerNanos(SessionRow session, Set<VmId> open) {
    VmId dead = session.incarnation().vm();
    List<VmId> others = open.stream().filter(vm -> !vm.equals(dead)).toList();
    List<VmId> ranking = Rendezvous.ranking(session.incarnation().toString(), others);
    int rank = Math.max(0, ranking.indexOf(self.incarnation().vm()));
    long stagger = Math.multiplyExact(timing.interval().toNanos(), (long) rank);
    return Math.min(stagger, timing.ttl().toNanos());
  }

  private void fence(SessionRow session, long version) {
    try {
      table.commit(SessionKeeper.endTransaction(session, version, SessionState.FENCED));
      LOG.atWarning().log("session: fenced %s", session.incarnation());
    } catch (ConditionFailedException e) {
      LOG.atInfo().log("session: %s was renewed before it could be fenced", session.incarnation());
    } catch (StoreException e) {
      LOG.atWarning().log("session: fencing %s failed: %s", session.incarnation(), e.getMessage());
    }
  }
}

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
 * Reads all sessions once per interval and fences those that stand still.
 *
 * <p>A session is fenced when its heartbeat number has not changed for the TTL on the monotonic
 * clock of this VM. Only time within an unbroken run of this VM's own successful heartbeats counts,
 * so a store that is down, half down or returning never makes live VMs look dead. An open session
 * older than another one of the same VM is fenced at once.
 *
 * <p>Each tick costs one scan per 500 sessions, plus one write per session that is fenced. VMs take
 * turns by rank, so that they do not all write at once. Example: {@code watcher.tick().openVms()}.
 * Thread-safe.
 */
public final class SessionWatcher {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  /**
   * When a heartbeat number was first seen.
   *
   * @param beat the number
   * @param seenAt monotonic nanoseconds
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
   * @param timing the times of sessions
   * @param self the session of this VM
   * @param nanos monotonic nanoseconds
   */
  public SessionWatcher(
      TableService table, SessionTiming timing, SessionKeeper self, LongSupplier nanos) {
    this.table = table;
    this.timing = timing;
    this.self = self;
    this.nanos = nanos;
  }

  /**
   * Reads the sessions and fences those that have stood still for the TTL. Call it after each
   * heartbeat.
   *
   * @return the sessions as read; one fenced by this tick still shows as open
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
   * Returns the sessions of the last scan that succeeded.
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
      boolean still = before != null && before.beat() == session.beat();
      Observation latest = still ? before : new Observation(session.beat(), now);
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
    long still = health.get().elapsedSince(seenAt);
    return still >= timing.ttl().toNanos() + turnNanos(session, open);
  }

  private boolean isReplaced(VmIncarnation incarnation) {
    return view.sessions().keySet().stream()
        .anyMatch(
            other -> other.vm().equals(incarnation.vm()) && other.number() > incarnation.number());
  }

  private long turnNanos(SessionRow session, Set<VmId> open) {
    VmId dead = session.incarnation().vm();
    List<VmId> others = open.stream().filter(vm -> !vm.equals(dead)).toList();
    List<VmId> ranking = Rendezvous.ranking(session.incarnation().toString(), others);
    int rank = Math.max(0, ranking.indexOf(self.incarnation().vm()));
    long turn = Math.multiplyExact(timing.interval().toNanos(), (long) rank);
    return Math.min(turn, timing.ttl().toNanos());
  }

  private void fence(SessionRow session, long version) {
    try {
      table.commit(SessionKeeper.endTransaction(session, version, SessionState.FENCED));
      LOG.atWarning().log("session: fenced %s", session.incarnation());
    } catch (ConditionFailedException e) {
      LOG.atInfo().log("session: %s moved before it was fenced", session.incarnation());
    } catch (StoreException e) {
      LOG.atWarning().log("session: fencing %s: %s", session.incarnation(), e.getMessage());
    }
  }
}

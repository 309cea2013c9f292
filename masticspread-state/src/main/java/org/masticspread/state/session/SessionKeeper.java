package org.masticspread.state.session;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.platform.Condition;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.state.format.Envelope;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.format.RecordKind;
import org.masticspread.state.format.StateKeys;

/**
 * Opens the session of this VM and renews it with heartbeats.
 *
 * <p>Example: {@code keeper.open()} once at start, {@code keeper.heartbeat()} at each interval,
 * {@code keeper.close()} at the end. Each heartbeat costs one write. Thread-safe. These calls block
 * on the store; {@link #isHeld()} and {@link #isFenced()} do not.
 */
public final class SessionKeeper {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final int MAX_OPEN_ATTEMPTS = 8;

  /**
   * A heartbeat that is not known to have taken effect yet.
   *
   * @param beat the number of the heartbeat
   * @param start when it was sent, in monotonic nanoseconds
   */
  private record SentHeartbeat(long beat, long start) {}

  private final TableService table;
  private final SessionTiming timing;
  private final SessionRow template;
  private final LongSupplier nanos;

  private final Deque<SentHeartbeat> unconfirmed = new ArrayDeque<>();
  private final Map<Long, Long> openAttempts = new HashMap<>();
  private SessionRow row;
  private long version;
  private boolean versionKnown;

  private volatile VmIncarnation incarnation;
  private volatile HealthWindow health;
  private volatile boolean healthBroken;
  private volatile long heldFrom;
  private volatile SessionState state;

  /**
   * Creates a keeper without writing to the store.
   *
   * @param table the table service
   * @param timing the timing of sessions
   * @param vm this VM
   * @param address the host and port of this VM for the peer protocol
   * @param dataCentre the data centre of this VM
   * @param nonce a string that no other process uses, such as a random UUID
   * @param nanos the monotonic clock, in nanoseconds
   */
  public SessionKeeper(
      TableService table,
      SessionTiming timing,
      VmId vm,
      String address,
      DataCentreId dataCentre,
      String nonce,
      LongSupplier nanos) {
    this.table = table;
    this.timing = timing;
    this.nanos = nanos;
    this.template =
        new SessionRow(new VmIncarnation(vm, 0), address, dataCentre, SessionState.OPEN, 0, nonce);
  }

  /**
   * Opens the session with an incarnation number higher than every earlier one. May be called again
   * after an error: a session that was opened by a write whose answer was lost is then adopted.
   *
   * @return the incarnation
   * @throws StoreException if the store does not answer
   * @throws RecordFormatException if a row can't be read
   */
  public synchronized VmIncarnation open() throws StoreException, RecordFormatException {
    if (incarnation != null) {
      return incarnation;
    }
    for (int i = 0; i < MAX_OPEN_ATTEMPTS; i++) {
      if (tryOpen()) {
        LOG.atInfo().log("session: opened %s", incarnation);
        return incarnation;
      }
    }
    throw new StoreException(
        StoreException.Effect.UNKNOWN,
        "session: other processes open sessions of this VM at the same time",
        null);
  }

  private boolean tryOpen() throws StoreException, RecordFormatException {
    VmId vm = template.incarnation().vm();
    String counterKey = StateKeys.incarnation(vm);
    Optional<Row> counter = table.read(counterKey);
    long last = counter.isEmpty() ? 0 : lastNumber(counter.get());
    if (adoptOpened(new VmIncarnation(vm, last))) {
      return true;
    }
    long start = nanos.getAsLong();
    openAttempts.putIfAbsent(last + 1, start);
    VmIncarnation next = new VmIncarnation(vm, last + 1);
    SessionRow opened = rowOf(next);
    Transaction transaction =
        new Transaction(
            List.of(
                new Condition(counterKey, counter.map(Row::version).orElse(Condition.ABSENT)),
                new Condition(StateKeys.session(next), Condition.ABSENT),
                new Condition(StateKeys.fence(next), Condition.ABSENT)),
            List.of(
                Mutation.put(
                    counterKey,
                    Envelope.seal(RecordKind.INCARNATION, new IncarnationRow(next.number()))),
                write(opened),
                FenceRow.write(next, SessionState.OPEN)));
    try {
      table.commit(transaction);
    } catch (ConditionFailedException e) {
      return false;
    } catch (StoreException e) {
      if (e.effect() == StoreException.Effect.NONE) {
        throw e;
      }
      return false;
    }
    markOpen(opened, 1, openAttempts.get(next.number()));
    return true;
  }

  private static long lastNumber(Row row) throws RecordFormatException {
    return Envelope.open(row.key(), row.value(), RecordKind.INCARNATION, IncarnationRow.class)
        .last();
  }

  private boolean adoptOpened(VmIncarnation last) throws StoreException, RecordFormatException {
    Long start = openAttempts.get(last.number());
    if (start == null) {
      return false;
    }
    Optional<Row> found = table.read(StateKeys.session(last));
    if (found.isEmpty()) {
      return false;
    }
    SessionRow read = read(found.get());
    if (!read.nonce().equals(template.nonce()) || read.state() != SessionState.OPEN) {
      return false;
    }
    markOpen(read, found.get().version(), start);
    return true;
  }

  private SessionRow rowOf(VmIncarnation next) {
    return new SessionRow(
        next, template.address(), template.dataCentre(), SessionState.OPEN, 0, template.nonce());
  }

  private void markOpen(SessionRow opened, long openedVersion, long start) {
    row = opened;
    version = openedVersion;
    versionKnown = true;
    heldFrom = start;
    health = new HealthWindow(start, start);
    state = opened.state();
    incarnation = opened.incarnation();
  }

  /**
   * Renews the session with one conditional write. Never throws when the store fails: the next call
   * reads the row back after a write whose answer was lost.
   *
   * @return whether the session was renewed
   */
  public synchronized boolean heartbeat() {
    if (state != SessionState.OPEN) {
      return false;
    }
    long start = nanos.getAsLong();
    try {
      boolean renewed = (versionKnown || readBack()) && renew(start);
      if (!renewed) {
        healthBroken = true;
      }
      return renewed;
    } catch (MasticspreadException e) {
      healthBroken = true;
      LOG.atWarning().log("session: heartbeat failed: %s", e.getMessage());
      return false;
    }
  }

  private boolean renew(long start) throws StoreException, RecordFormatException {
    SessionRow next = row.withBeat(row.beat() + 1 + unconfirmed.size());
    unconfirmed.addLast(new SentHeartbeat(next.beat(), start));
    try {
      table.commit(
          new Transaction(
              List.of(new Condition(StateKeys.session(incarnation), version)),
              List.of(write(next))));
    } catch (ConditionFailedException e) {
      versionKnown = false;
      readBack();
      return false;
    } catch (StoreException e) {
      if (e.effect() == StoreException.Effect.NONE) {
        unconfirmed.removeLast();
      } else {
        versionKnown = false;
      }
      throw e;
    }
    version++;
    confirm(next);
    extendHealth(start);
    return true;
  }

  /** Reads back the session row and returns whether the session is still open. */
  private boolean readBack() throws StoreException, RecordFormatException {
    Optional<Row> found = table.read(StateKeys.session(incarnation));
    if (found.isEmpty()) {
      end(SessionState.COLLECTED);
      return false;
    }
    SessionRow read = read(found.get());
    if (read.state() != SessionState.OPEN) {
      end(read.state());
      return false;
    }
    version = found.get().version();
    versionKnown = true;
    confirm(read);
    return true;
  }

  private void confirm(SessionRow stored) {
    for (SentHeartbeat heartbeat : unconfirmed) {
      if (heartbeat.beat() == stored.beat()) {
        heldFrom = heartbeat.start();
      }
    }
    unconfirmed.removeIf(s -> s.beat() <= stored.beat());
    row = stored;
  }

  private void extendHealth(long start) {
    HealthWindow before = health;
    boolean unbroken = !healthBroken && start - before.until() <= timing.ttl().toNanos() / 2;
    health = new HealthWindow(unbroken ? before.since() : start, start);
    healthBroken = false;
  }

  private void end(SessionState ended) {
    state = ended;
    if (ended != SessionState.CLOSED) {
      LOG.atSevere().log("session: %s was fenced", incarnation);
    }
  }

  /**
   * Closes the session at a graceful shutdown, after the shards were released.
   *
   * @return whether the session has ended
   */
  public synchronized boolean close() {
    if (state != SessionState.OPEN) {
      return state != null;
    }
    try {
      if (!versionKnown && !readBack()) {
        return true;
      }
      table.commit(endTransaction(row, version, SessionState.CLOSED));
      end(SessionState.CLOSED);
      return true;
    } catch (MasticspreadException e) {
      versionKnown = false;
      LOG.atWarning().log("session: close failed: %s", e.getMessage());
      return false;
    }
  }

  /**
   * Returns whether no other VM can have fenced this session yet, according to the monotonic clock
   * of this VM.
   *
   * @return whether the time since the last successful renewal was sent is less than the TTL minus
   *     the margin
   */
  public boolean isHeld() {
    long held = timing.ttl().minus(timing.margin()).toNanos();
    return state == SessionState.OPEN && nanos.getAsLong() - heldFrom < held;
  }

  /**
   * Returns whether another VM has ended this session.
   *
   * @return whether the session is known to be fenced
   */
  public boolean isFenced() {
    return state == SessionState.FENCED || state == SessionState.COLLECTED;
  }

  /**
   * Returns the last known state of the session.
   *
   * @return the state, or empty if the session was not opened yet
   */
  public Optional<SessionState> state() {
    return Optional.ofNullable(state);
  }

  /**
   * Returns the incarnation.
   *
   * @return the incarnation
   * @throws IllegalStateException if the session was not opened yet
   */
  public VmIncarnation incarnation() {
    VmIncarnation current = incarnation;
    if (current == null) {
      throw new IllegalStateException("session is not open");
    }
    return current;
  }

  /**
   * Returns the latest window of uninterrupted successful heartbeats. Only time in this window
   * counts when this VM decides whether another session has expired.
   *
   * @return the window, or empty if the last heartbeat failed or none was sent
   */
  public Optional<HealthWindow> health() {
    return healthBroken ? Optional.empty() : Optional.ofNullable(health);
  }

  static SessionRow read(Row stored) throws RecordFormatException {
    return Envelope.open(stored.key(), stored.value(), RecordKind.SESSION, SessionRow.class);
  }

  static Mutation write(SessionRow session) {
    return Mutation.put(
        StateKeys.session(session.incarnation()), Envelope.seal(RecordKind.SESSION, session));
  }

  static Transaction endTransaction(SessionRow session, long version, SessionState ended) {
    return new Transaction(
        List.of(
            new Condition(StateKeys.session(session.incarnation()), version),
            FenceRow.open(session.incarnation())),
        List.of(write(session.withState(ended)), FenceRow.write(session.incarnation(), ended)));
  }
}

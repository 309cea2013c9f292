package org.masticspread.state.testing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.StoreException.Effect;
import org.masticspread.model.work.Payload;

/** In-memory object store with injected faults. */
public final class FakeObjects implements ObjectStore {
  private final TreeMap<String, Payload> objects = new TreeMap<>();
  private final Deque<Fault> faults = new ArrayDeque<>();
  private boolean down;

  /** Injects faults into the next calls, one fault per call. */
  public synchronized void failCalls(Fault... next) {
    faults.addAll(List.of(next));
  }

  public synchronized void setDown(boolean down) {
    this.down = down;
  }

  /** Removes all faults. */
  public synchronized void heal() {
    down = false;
    faults.clear();
  }

  /** Returns the names with a prefix, ignoring faults. */
  public synchronized List<String> names(String prefix) {
    return objects.keySet().stream().filter(name -> name.startsWith(prefix)).toList();
  }

  private boolean failsBefore() throws StoreException {
    Fault fault = down ? Fault.REFUSED : faults.isEmpty() ? Fault.NONE : faults.removeFirst();
    if (fault == Fault.REFUSED || fault == Fault.ERROR_BEFORE) {
      throw new StoreException(Effect.UNKNOWN, "object store: " + fault, null);
    }
    return fault == Fault.ERROR_AFTER || fault == Fault.LATE_EFFECT;
  }

  private static void failIf(boolean fails) throws StoreException {
    if (fails) {
      throw new StoreException(Effect.UNKNOWN, "object store: answer lost", null);
    }
  }

  @Override
  public synchronized void put(String name, Payload content) throws StoreException {
    boolean fails = failsBefore();
    objects.put(name, content);
    failIf(fails);
  }

  @Override
  public synchronized Optional<Payload> get(String name) throws StoreException {
    failIf(failsBefore());
    return Optional.ofNullable(objects.get(name));
  }

  @Override
  public synchronized List<String> list(String prefix) throws StoreException {
    failIf(failsBefore());
    return names(prefix);
  }

  @Override
  public synchronized void delete(String name) throws StoreException {
    boolean fails = failsBefore();
    objects.remove(name);
    failIf(fails);
  }
}

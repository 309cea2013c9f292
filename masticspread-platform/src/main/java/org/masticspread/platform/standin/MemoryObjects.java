package org.masticspread.platform.standin;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.work.Payload;

/**
 * An in-memory object store.
 *
 * <p>Example: {@code new MemoryObjects(Faults.none())}. In the fault script, calls are named {@code
 * objects.put/NAME}, {@code objects.get/NAME}, {@code objects.list/PREFIX} and {@code
 * objects.delete/NAME}. Thread-safe.
 */
public final class MemoryObjects implements ObjectStore {
  private final TreeMap<String, Payload> objects = new TreeMap<>();
  private final FaultInjector<StoreException> injector;

  /**
   * Creates an empty store.
   *
   * @param faults the script of faults
   */
  public MemoryObjects(Faults faults) {
    this.injector = StoreFailures.injector(faults);
  }

  @Override
  public void put(String name, Payload content) throws StoreException {
    injector.run("objects.put/" + name, () -> write(name, content));
  }

  @Override
  public Optional<Payload> get(String name) throws StoreException {
    return injector.run("objects.get/" + name, () -> find(name));
  }

  @Override
  public List<String> list(String prefix) throws StoreException {
    return injector.run("objects.list/" + prefix, () -> names(prefix));
  }

  @Override
  public void delete(String name) throws StoreException {
    injector.run("objects.delete/" + name, () -> remove(name));
  }

  private synchronized Payload write(String name, Payload content) {
    return objects.put(name, content);
  }

  private synchronized Optional<Payload> find(String name) {
    return Optional.ofNullable(objects.get(name));
  }

  private synchronized List<String> names(String prefix) {
    return objects.tailMap(prefix, true).keySet().stream()
        .takeWhile(name -> name.startsWith(prefix))
        .toList();
  }

  private synchronized Payload remove(String name) {
    return objects.remove(name);
  }
}

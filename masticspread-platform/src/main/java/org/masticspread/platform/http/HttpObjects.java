package org.masticspread.platform.http;

import java.util.List;
import java.util.Optional;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.work.Payload;

/**
 * The object store over HTTP. Calls block up to the call timeout.
 *
 * <p>Example: {@code new HttpObjects("127.0.0.1:7000", HttpSettings.defaults())}. Thread-safe.
 */
public final class HttpObjects implements ObjectStore, AutoCloseable {
  private final StoreCalls calls;

  /**
   * Creates an adapter; it connects with the first call.
   *
   * @param address host and port, or a URL
   * @param settings timeouts and limits
   */
  public HttpObjects(String address, HttpSettings settings) {
    this.calls = new StoreCalls(address, settings);
  }

  @Override
  public void put(String name, Payload content) throws StoreException {
    var ignored =
        calls.call("/objects/put", new Protocol.PutObject(name, content), Protocol.Nothing.class);
  }

  @Override
  public Optional<Payload> get(String name) throws StoreException {
    Protocol.NamedObject named = new Protocol.NamedObject(name);
    Protocol.FoundObject found = calls.call("/objects/get", named, Protocol.FoundObject.class);
    return Optional.ofNullable(found.content());
  }

  @Override
  public List<String> list(String prefix) throws StoreException {
    Protocol.NamedObject named = new Protocol.NamedObject(prefix);
    return calls.call("/objects/list", named, Protocol.ObjectNames.class).names();
  }

  @Override
  public void delete(String name) throws StoreException {
    var ignored =
        calls.call("/objects/delete", new Protocol.NamedObject(name), Protocol.Nothing.class);
  }

  @Override
  public void close() {
    calls.close();
  }
}

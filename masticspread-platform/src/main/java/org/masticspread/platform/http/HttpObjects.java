package org.masticspread.platform.http;

import java.util.List;
import java.util.Optional;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.work.Payload;

/**
 * Adapter of the object store over HTTP. Calls block up to the call timeout.
 *
 * <p>Example: {@code new HttpObjects("127.0.0.1:7000", HttpSettings.defaults())}. Thread-safe.
 */
public final class HttpObjects implements ObjectStore, AutoCloseable {
  private final StoreClient client;

  /**
   * Creates an adapter, which opens connections on demand.
   *
   * @param address the host and port, or a URL
   * @param settings the timeouts and limits
   */
  public HttpObjects(String address, HttpSettings settings) {
    this.client = new StoreClient(address, settings);
  }

  @Override
  public void put(String name, Payload content) throws StoreException {
    var ignored =
        client.call("/objects/put", new Protocol.PutObject(name, content), Protocol.Nothing.class);
  }

  @Override
  public Optional<Payload> get(String name) throws StoreException {
    Protocol.NamedObject named = new Protocol.NamedObject(name);
    Protocol.FoundObject found = client.call("/objects/get", named, Protocol.FoundObject.class);
    return Optional.ofNullable(found.content());
  }

  @Override
  public List<String> list(String prefix) throws StoreException {
    Protocol.NamedObject named = new Protocol.NamedObject(prefix);
    return client.call("/objects/list", named, Protocol.ObjectNames.class).names();
  }

  @Override
  public void delete(String name) throws StoreException {
    var ignored =
        client.call("/objects/delete", new Protocol.NamedObject(name), Protocol.Nothing.class);
  }

  @Override
  public void close() {
    client.close();
  }
}

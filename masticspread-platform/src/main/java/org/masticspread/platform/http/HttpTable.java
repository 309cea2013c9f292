package org.masticspread.platform.http;

import java.util.List;
import java.util.Optional;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;

/**
 * Adapter of the table service over HTTP. Calls block up to the call timeout.
 *
 * <p>Example: {@code new HttpTable("127.0.0.1:7000", HttpSettings.defaults())}. Thread-safe.
 */
public final class HttpTable implements TableService, AutoCloseable {
  private final StoreClient client;

  /**
   * Creates an adapter, which opens connections on demand.
   *
   * @param address the host and port, or a URL
   * @param settings the timeouts and limits
   */
  public HttpTable(String address, HttpSettings settings) {
    this.client = new StoreClient(address, settings);
  }

  @Override
  public Optional<Row> read(String key) throws StoreException {
    Protocol.Rows found =
        client.call("/table/read", new Protocol.ReadRow(key), Protocol.Rows.class);
    return found.rows().stream().findFirst();
  }

  @Override
  public List<Row> scan(String prefix, String after, int limit) throws StoreException {
    if (limit < 1) {
      throw new IllegalArgumentException("limit: " + limit + " is less than 1");
    }
    Protocol.ScanRows scan = new Protocol.ScanRows(prefix, after, limit);
    return client.call("/table/scan", scan, Protocol.Rows.class).rows();
  }

  @Override
  public void commit(Transaction transaction) throws StoreException, ConditionFailedException {
    var ignored = client.callConditional("/table/commit", transaction, Protocol.Nothing.class);
  }

  @Override
  public void close() {
    client.close();
  }
}

package org.masticspread.platform.http;

import org.masticspread.model.id.VmId;
import org.masticspread.model.platform.Member;
import org.masticspread.model.platform.MembershipList;
import org.masticspread.model.platform.MembershipView;
import org.masticspread.model.platform.StoreException;

/**
 * Adapter of the membership list over HTTP. Calls block up to the call timeout.
 *
 * <p>Example: {@code new HttpMembership("127.0.0.1:7000", HttpSettings.defaults())}. Thread-safe.
 */
public final class HttpMembership implements MembershipList, AutoCloseable {
  private final StoreClient client;

  /**
   * Creates an adapter, which opens connections on demand.
   *
   * @param address the host and port, or a URL
   * @param settings the timeouts and limits
   */
  public HttpMembership(String address, HttpSettings settings) {
    this.client = new StoreClient(address, settings);
  }

  @Override
  public MembershipView read() throws StoreException {
    return client.call("/membership/read", new Protocol.Nothing(), MembershipView.class);
  }

  @Override
  public void register(Member member) throws StoreException {
    var ignored = client.call("/membership/register", member, Protocol.Nothing.class);
  }

  @Override
  public void deregister(VmId vm) throws StoreException {
    var ignored =
        client.call("/membership/deregister", new Protocol.Deregister(vm), Protocol.Nothing.class);
  }

  @Override
  public void close() {
    client.close();
  }
}

package org.masticspread.platform.http;

import org.masticspread.model.id.VmId;
import org.masticspread.model.platform.Member;
import org.masticspread.model.platform.MembershipList;
import org.masticspread.model.platform.MembershipView;
import org.masticspread.model.platform.StoreException;

/**
 * The membership list over HTTP. Calls block up to the call timeout.
 *
 * <p>Example: {@code new HttpMembership("127.0.0.1:7000", HttpSettings.defaults())}. Thread-safe.
 */
public final class HttpMembership implements MembershipList, AutoCloseable {
  private final StoreCalls calls;

  /**
   * Creates an adapter; it connects with the first call.
   *
   * @param address host and port, or a URL
   * @param settings timeouts and limits
   */
  public HttpMembership(String address, HttpSettings settings) {
    this.calls = new StoreCalls(address, settings);
  }

  @Override
  public MembershipView read() throws StoreException {
    return calls.call("/membership/read", new Protocol.Nothing(), MembershipView.class);
  }

  @Override
  public void register(Member member) throws StoreException {
    var ignored = calls.call("/membership/register", member, Protocol.Nothing.class);
  }

  @Override
  public void deregister(VmId vm) throws StoreException {
    var ignored =
        calls.call("/membership/deregister", new Protocol.Deregister(vm), Protocol.Nothing.class);
  }

  @Override
  public void close() {
    calls.close();
  }
}

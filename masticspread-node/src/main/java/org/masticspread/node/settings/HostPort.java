package org.masticspread.node.settings;

import org.masticspread.model.result.InvalidFieldException;

/**
 * Address made of host and port.
 *
 * @param host an IP address or a host name
 * @param port the port, 0 to 65535; 0 lets the system choose one
 */
public record HostPort(String host, int port) {
  private static final String ALLOWED = "HOST:PORT with a port from 0 to 65535";
  private static final int MAX_PORT = 65_535;

  /**
   * Parses an address.
   *
   * <p>Example: {@code HostPort.parse("--listen-api", "127.0.0.1:7080")}.
   *
   * @param flag the flag to name in an error
   * @param text the text
   * @return the address
   * @throws InvalidFieldException if the text is not a valid address
   */
  public static HostPort parse(String flag, String text) throws InvalidFieldException {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new InvalidFieldException(flag, text, ALLOWED);
    }
    int port = parsePort(flag, text, text.substring(colon + 1));
    return new HostPort(text.substring(0, colon), port);
  }

  private static int parsePort(String flag, String text, String digits)
      throws InvalidFieldException {
    try {
      int port = Integer.parseInt(digits);
      if (port >= 0 && port <= MAX_PORT) {
        return port;
      }
    } catch (NumberFormatException e) {
      throw new InvalidFieldException(flag, text, ALLOWED);
    }
    throw new InvalidFieldException(flag, text, ALLOWED);
  }

  /**
   * Returns whether the address can be reached from this machine only.
   *
   * @return whether the host is a loopback address
   */
  public boolean isLoopback() {
    return host.startsWith("127.") || host.equals("localhost") || host.equals("::1");
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}

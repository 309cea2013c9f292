package org.masticspread.ctl.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import okhttp3.HttpUrl;
import org.masticspread.ctl.client.ApiClient;
import picocli.CommandLine.Option;

/** The flags that select the nodes to call, the token and the timeout. */
public final class NodeFlags {
  private static final Pattern TOKEN = Pattern.compile("[A-Za-z0-9._~+/=:-]{1,1024}");
  private static final Duration MAX_TIMEOUT = Duration.ofHours(1);

  @Option(
      names = "--url",
      paramLabel = "URL[,URL]",
      defaultValue = "http://127.0.0.1:7080",
      description =
          "The nodes, HTTP or HTTPS URLs; the next one is tried only when one takes no connection.")
  private String url;

  @Option(
      names = "--token",
      paramLabel = "TOKEN",
      description = "The bearer token of an operator or a team; best given by the environment.")
  private String token;

  @Option(
      names = "--timeout",
      paramLabel = "TIME",
      defaultValue = "PT30S",
      description = "The longest wait for an answer, beyond the answer time of a request.")
  private Duration timeout;

  /**
   * Returns a client of the nodes.
   *
   * @return the client
   * @throws UsageException if a flag is invalid
   */
  public ApiClient client() throws UsageException {
    return client(urls());
  }

  private ApiClient client(List<String> urls) throws UsageException {
    if (token != null && !TOKEN.matcher(token).matches()) {
      throw new UsageException("--token", "(hidden)", "1 to 1024 letters, digits or ._~+/=:-");
    }
    Flags.requireBetween("--timeout", timeout, Duration.ofMillis(1), MAX_TIMEOUT);
    return ApiClient.connect(urls, token, timeout);
  }

  /**
   * Returns a separate client for each node.
   *
   * @return the clients in the order of the URLs
   * @throws UsageException if a flag is invalid
   */
  public List<ApiClient> clients() throws UsageException {
    List<ApiClient> clients = new ArrayList<>();
    for (String one : urls()) {
      clients.add(client(List.of(one)));
    }
    return clients;
  }

  /**
   * Returns the URLs of the nodes.
   *
   * @return the URLs, at least one
   * @throws UsageException if one is malformed
   */
  public List<String> urls() throws UsageException {
    List<String> urls = List.of(url.split(",", -1));
    for (String one : urls) {
      if (HttpUrl.parse(one) == null) {
        throw new UsageException("--url", url, "HTTP or HTTPS URLs, separated by commas");
      }
    }
    return urls;
  }
}

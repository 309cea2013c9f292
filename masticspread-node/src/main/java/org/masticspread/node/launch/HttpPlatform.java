package org.masticspread.node.launch;

import java.util.Optional;
import java.util.function.Supplier;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.EndpointPort;
import org.masticspread.platform.http.HttpEndpoints;
import org.masticspread.platform.http.HttpMembership;
import org.masticspread.platform.http.HttpObjects;
import org.masticspread.platform.http.HttpSettings;
import org.masticspread.platform.http.HttpTable;
import org.masticspread.platform.http.HttpWorkers;

/**
 * Platform at a URL. Workers and endpoints are called at their addresses in the configuration; an
 * address {@code embedded:NAME} denotes a stand-in behind the same URL.
 *
 * <p>Example: {@code Platform platform = HttpPlatform.at(url, config::inForce);}.
 */
final class HttpPlatform {
  private static final String EMBEDDED = "embedded:";

  private final String url;
  private final Supplier<Configuration> configuration;

  private HttpPlatform(String url, Supplier<Configuration> configuration) {
    this.url = url;
    this.configuration = configuration;
  }

  static Platform at(String url, Supplier<Configuration> configuration) {
    HttpPlatform platform = new HttpPlatform(url, configuration);
    HttpSettings settings = HttpSettings.defaults();
    return new Platform(
        new HttpTable(url, settings),
        new HttpObjects(url, settings),
        new HttpMembership(url, settings),
        new HttpWorkers(platform::addressOf, settings),
        platform.endpoints(new HttpEndpoints(settings)));
  }

  private Optional<String> addressOf(WorkerId worker) {
    return configuration.get().workers().stream()
        .filter(w -> w.name().equals(worker))
        .map(WorkerConfig::address)
        .map(a -> resolve(a, "/workers/"))
        .findFirst();
  }

  private EndpointPort endpoints(EndpointPort port) {
    return (endpoint, request, timeout) -> port.call(resolve(endpoint), request, timeout);
  }

  private EndpointConfig resolve(EndpointConfig endpoint) {
    return new EndpointConfig(
        endpoint.name(),
        endpoint.pool(),
        endpoint.dataCentre(),
        resolve(endpoint.address(), "/endpoints/"),
        endpoint.slots(),
        endpoint.connections(),
        endpoint.state());
  }

  private String resolve(String address, String path) {
    if (!address.startsWith(EMBEDDED)) {
      return address;
    }
    return url + path + address.substring(EMBEDDED.length());
  }
}

package org.masticspread.model.cell;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * One version of the configuration set by the operator.
 *
 * @param version the version, which increases with each change
 * @param queues the queues
 * @param endpoints the endpoints
 * @param mostBodyBytes the maximum body size of a call, in bytes
 * @param idleTimeout the time after which an idle connection of a caller is closed
 * @param teams the teams; none where calls need no key
 * @param mostHeaderBytes the maximum header size of a call, in bytes
 * @param headerTimeout the time within which the header of a call has to arrive
 */
public record CellConfig(
    long version,
    List<QueueRule> queues,
    List<EndpointRule> endpoints,
    int mostBodyBytes,
    Duration idleTimeout,
    Teams teams,
    int mostHeaderBytes,
    Duration headerTimeout) {
  private static final int DEFAULT_HEADER_BYTES = 16_384;
  private static final Duration DEFAULT_HEADER_TIMEOUT = Duration.ofSeconds(3);

  /** Copies the lists. */
  public CellConfig {
    queues = List.copyOf(queues);
    endpoints = List.copyOf(endpoints);
  }

  /** Creates a configuration with the default limits of headers. */
  public CellConfig(
      long version,
      List<QueueRule> queues,
      List<EndpointRule> endpoints,
      int mostBodyBytes,
      Duration idleTimeout,
      Teams teams) {
    this(
        version,
        queues,
        endpoints,
        mostBodyBytes,
        idleTimeout,
        teams,
        DEFAULT_HEADER_BYTES,
        DEFAULT_HEADER_TIMEOUT);
  }

  /** Creates a configuration without teams. */
  public CellConfig(
      long version,
      List<QueueRule> queues,
      List<EndpointRule> endpoints,
      int mostBodyBytes,
      Duration idleTimeout) {
    this(version, queues, endpoints, mostBodyBytes, idleTimeout, Teams.NONE);
  }

  /**
   * Finds the queue of a call. The queue with the longest matching path prefix is chosen.
   *
   * @param host the host name in the call, without a port
   * @param path the path
   * @return the queue, or empty if none matches
   */
  public Optional<QueueRule> match(String host, String path) {
    QueueRule best = null;
    for (QueueRule queue : queues) {
      boolean longer = best == null || queue.pathPrefix().length() > best.pathPrefix().length();
      if (longer && queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix())) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Finds a queue by its name.
   *
   * @param name the name
   * @return the queue, or empty if there is none of that name
   */
  public Optional<QueueRule> queue(String name) {
    return queues.stream().filter(queue -> queue.name().equals(name)).findFirst();
  }

  /**
   * Finds an endpoint by its name.
   *
   * @param name the name
   * @return the endpoint, or empty if there is none of that name
   */
  public Optional<EndpointRule> endpoint(String name) {
    return endpoints.stream().filter(endpoint -> endpoint.name().equals(name)).findFirst();
  }
}

package org.masticspread.node.settings;

import java.time.Duration;
import java.util.Map;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.VmId;

/**
 * The checked settings of a node.
 *
 * @param vm this VM
 * @param dataCentre its data centre
 * @param listenApi where the HTTP interface listens
 * @param listenPeers where the inner protocol listens
 * @param platform where the platform is
 * @param platformUrl the URL of the platform; empty when embedded
 * @param platformListen where an embedded platform serves other nodes; null when it does not
 * @param embeddedCell the cell of the embedded platform
 * @param clusterKey the secret shared by all VMs
 * @param operatorTokens tokens to names of operators
 * @param workShards the number of work shards
 * @param timing intervals and bounds of time
 * @param storeWritesPerSecond journal writes a second that all VMs share
 * @param maxBodyBytes the greatest body of a call, in bytes
 * @param jsonLogs whether logs are JSON lines
 */
public record NodeSettings(
    VmId vm,
    DataCentreId dataCentre,
    HostPort listenApi,
    HostPort listenPeers,
    PlatformKind platform,
    String platformUrl,
    HostPort platformListen,
    String embeddedCell,
    String clusterKey,
    Map<String, String> operatorTokens,
    int workShards,
    Timing timing,
    int storeWritesPerSecond,
    int maxBodyBytes,
    boolean jsonLogs) {
  /**
   * Intervals and bounds of time.
   *
   * @param heartbeat interval of session heartbeats
   * @param sessionTtl how long a session may stand still
   * @param skewMargin greatest difference of two clocks
   * @param workerLease lease of a task on a worker
   * @param gossip interval of digests
   * @param recordRetention how long the record of a request id is kept
   * @param longestAnswer the longest time a request may take
   * @param stopWithin bound of a graceful stop
   */
  public record Timing(
      Duration heartbeat,
      Duration sessionTtl,
      Duration skewMargin,
      Duration workerLease,
      Duration gossip,
      Duration recordRetention,
      Duration longestAnswer,
      Duration stopWithin) {}

  /** Copies the map. */
  public NodeSettings {
    operatorTokens = Map.copyOf(operatorTokens);
  }

  @Override
  public String toString() {
    return "NodeSettings[vm=" + vm + ", api=" + listenApi + ", peers=" + listenPeers + "]";
  }
}

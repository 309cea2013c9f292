package org.masticspread.node.settings;

import java.time.Duration;
import java.util.Map;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.VmId;

/**
 * Validated settings of a node.
 *
 * @param vm this VM
 * @param dataCentre its data centre
 * @param listenApi the address of the HTTP interface
 * @param listenPeers the address of the peer protocol
 * @param platform the location of the platform
 * @param platformUrl the URL of the platform; empty if embedded
 * @param platformListen the address at which an embedded platform serves other nodes; null if it
 *     does not
 * @param embeddedCell the cell of the embedded platform
 * @param clusterKey the secret shared by all VMs
 * @param operatorTokens the names of operators by token
 * @param workShards the number of work shards
 * @param timing the intervals and time limits
 * @param storeWritesPerSecond the number of journal writes per second, shared by all VMs
 * @param maxBodyBytes the maximum size of the body of a call, in bytes
 * @param jsonLogs whether log lines are JSON
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
   * Intervals and time limits.
   *
   * @param heartbeat the interval of session heartbeats
   * @param sessionTtl how long a session may go without a heartbeat
   * @param skewMargin the maximum difference between the clocks of two machines
   * @param workerLease the lease of a task on a worker
   * @param gossip the interval of digests to peers
   * @param recordRetention how long the record of a request id is kept
   * @param longestAnswer the maximum time until a request is answered
   * @param stopWithin the maximum duration of a graceful stop
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

  /** Copies the map of tokens, so that the settings are immutable. */
  public NodeSettings {
    operatorTokens = Map.copyOf(operatorTokens);
  }

  @Override
  public String toString() {
    return "NodeSettings[vm=" + vm + ", api=" + listenApi + ", peers=" + listenPeers + "]";
  }
}

package org.masticspread.node.settings;

import java.time.Duration;
import picocli.CommandLine.Option;

/** Flags of a node. Each flag has an environment variable, which the flag overrides. */
public final class NodeOptions {
  @Option(
      names = "--vm",
      defaultValue = "${env:MASTICSPREAD_VM:-vm-1}",
      description = "Name of this VM (MASTICSPREAD_VM). Default: ${DEFAULT-VALUE}.")
  String vm;

  @Option(
      names = "--data-centre",
      defaultValue = "${env:MASTICSPREAD_DATA_CENTRE:-dc-1}",
      description = "Data centre of this VM (MASTICSPREAD_DATA_CENTRE). Default: ${DEFAULT-VALUE}.")
  String dataCentre;

  @Option(
      names = "--listen-api",
      defaultValue = "${env:MASTICSPREAD_LISTEN_API:-127.0.0.1:7080}",
      description =
          "HOST:PORT of the HTTP interface (MASTICSPREAD_LISTEN_API)."
              + " Default: ${DEFAULT-VALUE}.")
  String listenApi;

  @Option(
      names = "--listen-peers",
      defaultValue = "${env:MASTICSPREAD_LISTEN_PEERS:-127.0.0.1:7081}",
      description =
          "HOST:PORT of the peer protocol (MASTICSPREAD_LISTEN_PEERS)."
              + " Default: ${DEFAULT-VALUE}.")
  String listenPeers;

  @Option(
      names = "--platform",
      defaultValue = "${env:MASTICSPREAD_PLATFORM:-http}",
      description =
          "embedded: stand-ins in this process; http: the platform at --platform-url"
              + " (MASTICSPREAD_PLATFORM). Default: ${DEFAULT-VALUE}.")
  String platform;

  @Option(
      names = "--platform-url",
      defaultValue = "${env:MASTICSPREAD_PLATFORM_URL:-}",
      description = "URL of the platform, for --platform http (MASTICSPREAD_PLATFORM_URL).")
  String platformUrl;

  @Option(
      names = "--platform-listen",
      defaultValue = "${env:MASTICSPREAD_PLATFORM_LISTEN:-}",
      description =
          "HOST:PORT where an embedded platform serves other nodes"
              + " (MASTICSPREAD_PLATFORM_LISTEN). Default: not served.")
  String platformListen;

  @Option(
      names = "--embedded-cell",
      defaultValue = "${env:MASTICSPREAD_EMBEDDED_CELL:-kitami}",
      description =
          "kitami or mtkvari: workers and endpoints of the embedded platform"
              + " (MASTICSPREAD_EMBEDDED_CELL). Default: ${DEFAULT-VALUE}.")
  String embeddedCell;

  @Option(
      names = "--cluster-key",
      defaultValue = "${env:MASTICSPREAD_CLUSTER_KEY:-}",
      description =
          "Secret shared by all VMs, at least 16 characters (MASTICSPREAD_CLUSTER_KEY)."
              + " The embedded platform has a default.")
  String clusterKey;

  @Option(
      names = "--operator-tokens",
      defaultValue = "${env:MASTICSPREAD_OPERATOR_TOKENS:-}",
      description =
          "NAME=TOKEN,... of the operators (MASTICSPREAD_OPERATOR_TOKENS)."
              + " The embedded platform has the default apprentice=embedded-operator.")
  String operatorTokens;

  @Option(
      names = "--work-shards",
      defaultValue = "${env:MASTICSPREAD_WORK_SHARDS:-32}",
      description =
          "Number of work shards; must be the same on all VMs and never change"
              + " (MASTICSPREAD_WORK_SHARDS). Default: ${DEFAULT-VALUE}.")
  int workShards;

  @Option(
      names = "--heartbeat",
      defaultValue = "${env:MASTICSPREAD_HEARTBEAT:-PT1S}",
      description =
          "Interval of session heartbeats (MASTICSPREAD_HEARTBEAT)."
              + " Default: ${DEFAULT-VALUE}.")
  Duration heartbeat;

  @Option(
      names = "--session-ttl",
      defaultValue = "${env:MASTICSPREAD_SESSION_TTL:-PT5S}",
      description =
          "How long a session may go without a heartbeat before the VM is fenced"
              + " (MASTICSPREAD_SESSION_TTL). Default: ${DEFAULT-VALUE}.")
  Duration sessionTtl;

  @Option(
      names = "--skew-margin",
      defaultValue = "${env:MASTICSPREAD_SKEW_MARGIN:-PT1S}",
      description =
          "Maximum difference between the clocks of two machines (MASTICSPREAD_SKEW_MARGIN)."
              + " Default: ${DEFAULT-VALUE}.")
  Duration skewMargin;

  @Option(
      names = "--worker-lease",
      defaultValue = "${env:MASTICSPREAD_WORKER_LEASE:-PT10S}",
      description =
          "Lease of a task on a worker (MASTICSPREAD_WORKER_LEASE)."
              + " Default: ${DEFAULT-VALUE}.")
  Duration workerLease;

  @Option(
      names = "--gossip",
      defaultValue = "${env:MASTICSPREAD_GOSSIP:-PT0.5S}",
      description =
          "Interval of digests to peers (MASTICSPREAD_GOSSIP)." + " Default: ${DEFAULT-VALUE}.")
  Duration gossip;

  @Option(
      names = "--store-writes",
      defaultValue = "${env:MASTICSPREAD_STORE_WRITES:-200}",
      description =
          "Journal writes per second, shared by all VMs (MASTICSPREAD_STORE_WRITES)."
              + " Default: ${DEFAULT-VALUE}.")
  int storeWritesPerSecond;

  @Option(
      names = "--record-retention",
      defaultValue = "${env:MASTICSPREAD_RECORD_RETENTION:-PT1H}",
      description =
          "How long the record of a request id is kept"
              + " (MASTICSPREAD_RECORD_RETENTION). Default: ${DEFAULT-VALUE}.")
  Duration recordRetention;

  @Option(
      names = "--longest-answer",
      defaultValue = "${env:MASTICSPREAD_LONGEST_ANSWER:-PT1M}",
      description =
          "Maximum time until a request is answered (MASTICSPREAD_LONGEST_ANSWER)."
              + " Default: ${DEFAULT-VALUE}.")
  Duration longestAnswer;

  @Option(
      names = "--max-body-bytes",
      defaultValue = "${env:MASTICSPREAD_MAX_BODY_BYTES:-1048576}",
      description =
          "Maximum size of the body of a call, in bytes (MASTICSPREAD_MAX_BODY_BYTES)."
              + " Default: ${DEFAULT-VALUE}.")
  int maxBodyBytes;

  @Option(
      names = "--stop-within",
      defaultValue = "${env:MASTICSPREAD_STOP_WITHIN:-PT30S}",
      description =
          "Maximum duration of a graceful stop (MASTICSPREAD_STOP_WITHIN)."
              + " Default: ${DEFAULT-VALUE}.")
  Duration stopWithin;

  @Option(
      names = "--log-format",
      defaultValue = "${env:MASTICSPREAD_LOG_FORMAT:-text}",
      description = "text or json (MASTICSPREAD_LOG_FORMAT). Default: ${DEFAULT-VALUE}.")
  String logFormat;
}

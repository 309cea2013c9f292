package org.masticspread.node.settings;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.Names;
import org.masticspread.model.id.VmId;
import org.masticspread.model.result.InvalidFieldException;

/**
 * Validates the flags of a node before any port is opened.
 *
 * <p>Example: {@code NodeSettings settings = SettingsValidator.of(options).toSettings();}.
 */
public final class SettingsValidator {
  private static final int MIN_SECRET_CHARS = 16;
  private static final int MAX_WORK_SHARDS = 4_096;
  private static final int MAX_STORE_WRITES_PER_SECOND = 10_000;
  private static final int MIN_BODY_BYTES = 1_024;
  private static final int MAX_BODY_BYTES = 64 << 20;
  private static final Duration MAX_DURATION = Duration.ofDays(1);
  private static final Set<String> EXAMPLE_CELLS = Set.of("kitami", "mtkvari");
  private static final String EMBEDDED_KEY = "embedded-cluster-key";
  private static final String EMBEDDED_OPERATOR = "apprentice=embedded-operator";

  private final NodeOptions options;

  private SettingsValidator(NodeOptions options) {
    this.options = options;
  }

  /**
   * Creates a validator.
   *
   * @param options the flags to validate
   * @return the validator
   */
  public static SettingsValidator of(NodeOptions options) {
    return new SettingsValidator(options);
  }

  /**
   * Validates every flag.
   *
   * @return the settings
   * @throws InvalidFieldException if a flag is invalid or missing; the error names the flag, the
   *     value and the allowed values
   */
  public NodeSettings toSettings() throws InvalidFieldException {
    PlatformKind platform = platform();
    NodeSettings settings =
        new NodeSettings(
            VmId.of(name("--vm", options.vm)),
            DataCentreId.of(name("--data-centre", options.dataCentre)),
            HostPort.parse("--listen-api", options.listenApi),
            HostPort.parse("--listen-peers", options.listenPeers),
            platform,
            platformUrl(platform),
            platformListen(platform),
            oneOf("--embedded-cell", options.embeddedCell, EXAMPLE_CELLS),
            clusterKey(platform),
            operatorTokens(platform),
            range("--work-shards", options.workShards, 1, MAX_WORK_SHARDS),
            timing(),
            range("--store-writes", options.storeWritesPerSecond, 1, MAX_STORE_WRITES_PER_SECOND),
            range("--max-body-bytes", options.maxBodyBytes, MIN_BODY_BYTES, MAX_BODY_BYTES),
            oneOf("--log-format", options.logFormat, Set.of("text", "json")).equals("json"));
    requireLoopbackForDefaultSecrets(settings);
    return settings;
  }

  private NodeSettings.Timing timing() throws InvalidFieldException {
    Duration heartbeat = time("--heartbeat", options.heartbeat);
    Duration sessionTtl = time("--session-ttl", options.sessionTtl);
    if (sessionTtl.compareTo(heartbeat.multipliedBy(3)) < 0) {
      throw new InvalidFieldException(
          "--session-ttl", sessionTtl.toString(), "at least three times --heartbeat " + heartbeat);
    }
    Duration skewMargin = time("--skew-margin", options.skewMargin);
    Duration workerLease = time("--worker-lease", options.workerLease);
    if (workerLease.compareTo(skewMargin.multipliedBy(3)) < 0) {
      throw new InvalidFieldException(
          "--worker-lease",
          workerLease.toString(),
          "at least three times --skew-margin " + skewMargin);
    }
    Duration recordRetention = time("--record-retention", options.recordRetention);
    Duration longestAnswer = time("--longest-answer", options.longestAnswer);
    if (recordRetention.compareTo(longestAnswer) <= 0) {
      throw new InvalidFieldException(
          "--record-retention",
          recordRetention.toString(),
          "longer than --longest-answer " + longestAnswer);
    }
    return new NodeSettings.Timing(
        heartbeat,
        sessionTtl,
        skewMargin,
        workerLease,
        time("--gossip", options.gossip),
        recordRetention,
        longestAnswer,
        time("--stop-within", options.stopWithin));
  }

  private PlatformKind platform() throws InvalidFieldException {
    String kind = oneOf("--platform", options.platform, Set.of("embedded", "http"));
    return PlatformKind.valueOf(kind.toUpperCase(Locale.ROOT));
  }

  private String platformUrl(PlatformKind platform) throws InvalidFieldException {
    if (platform == PlatformKind.EMBEDDED) {
      return "";
    }
    String url = options.platformUrl;
    if (!url.startsWith("http://") && !url.startsWith("https://")) {
      throw new InvalidFieldException(
          "--platform-url", url, "a URL that starts with http:// or https://");
    }
    return url;
  }

  private HostPort platformListen(PlatformKind platform) throws InvalidFieldException {
    if (options.platformListen.isEmpty()) {
      return null;
    }
    if (platform != PlatformKind.EMBEDDED) {
      throw new InvalidFieldException(
          "--platform-listen", options.platformListen, "only with --platform embedded");
    }
    HostPort address = HostPort.parse("--platform-listen", options.platformListen);
    if (!address.isLoopback()) {
      throw new InvalidFieldException(
          "--platform-listen", options.platformListen, "a loopback address");
    }
    return address;
  }

  private String clusterKey(PlatformKind platform) throws InvalidFieldException {
    String key = options.clusterKey;
    if (key.isEmpty() && platform == PlatformKind.EMBEDDED) {
      return EMBEDDED_KEY;
    }
    if (key.length() < MIN_SECRET_CHARS) {
      throw new InvalidFieldException(
          "--cluster-key",
          key.isEmpty() ? "" : "(hidden)",
          "a secret of at least " + MIN_SECRET_CHARS + " characters");
    }
    return key;
  }

  private Map<String, String> operatorTokens(PlatformKind platform) throws InvalidFieldException {
    String text = options.operatorTokens;
    if (text.isEmpty() && platform == PlatformKind.EMBEDDED) {
      text = EMBEDDED_OPERATOR;
    }
    Map<String, String> tokens = new LinkedHashMap<>();
    for (String part : text.split(",", -1)) {
      addToken(tokens, part);
    }
    return tokens;
  }

  private static void addToken(Map<String, String> tokens, String part)
      throws InvalidFieldException {
    int equals = part.indexOf('=');
    String allowed =
        "NAME=TOKEN,... with tokens of at least " + MIN_SECRET_CHARS + " characters, all different";
    if (equals <= 0 || part.length() - equals - 1 < MIN_SECRET_CHARS) {
      throw new InvalidFieldException("--operator-tokens", "(hidden)", allowed);
    }
    String name = name("--operator-tokens", part.substring(0, equals));
    if (tokens.put(part.substring(equals + 1), name) != null) {
      throw new InvalidFieldException("--operator-tokens", "(hidden)", allowed);
    }
  }

  private void requireLoopbackForDefaultSecrets(NodeSettings settings)
      throws InvalidFieldException {
    boolean usesDefaultSecrets = options.clusterKey.isEmpty() || options.operatorTokens.isEmpty();
    if (!usesDefaultSecrets) {
      return;
    }
    requireLoopback("--listen-api", settings.listenApi());
    requireLoopback("--listen-peers", settings.listenPeers());
  }

  private static void requireLoopback(String flag, HostPort address) throws InvalidFieldException {
    if (!address.isLoopback()) {
      throw new InvalidFieldException(
          flag,
          address.toString(),
          "a loopback address, unless --cluster-key and --operator-tokens are given");
    }
  }

  private static String name(String flag, String text) throws InvalidFieldException {
    if (!Names.isValid(text)) {
      throw new InvalidFieldException(flag, text, Names.RULE);
    }
    return text;
  }

  private static String oneOf(String flag, String text, Set<String> allowed)
      throws InvalidFieldException {
    if (!allowed.contains(text)) {
      throw new InvalidFieldException(
          flag, text, String.join(" or ", allowed.stream().sorted().toList()));
    }
    return text;
  }

  private static int range(String flag, int value, int min, int max) throws InvalidFieldException {
    if (value < min || value > max) {
      throw new InvalidFieldException(
          flag, Integer.toString(value), "a whole number from " + min + " to " + max);
    }
    return value;
  }

  private static Duration time(String flag, Duration value) throws InvalidFieldException {
    if (value.isZero() || value.isNegative() || value.compareTo(MAX_DURATION) > 0) {
      throw new InvalidFieldException(
          flag, value.toString(), "a time above zero and up to " + MAX_DURATION + ", as PT1.5S");
    }
    return value;
  }
}

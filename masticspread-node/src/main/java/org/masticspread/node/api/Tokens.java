package org.masticspread.node.api;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.masticspread.model.id.Names;
import org.masticspread.model.id.TeamId;

/**
 * Bearer tokens of operators and teams. The token of a team is {@code TEAM.SIGNATURE}, signed with
 * the cluster key, so that no VM has to store it.
 *
 * <p>Example: {@code tokens.callerOf("Bearer " + tokens.ofTeam(team))}.
 */
public final class Tokens {
  private static final String ALGORITHM = "HmacSHA256";
  private static final String PREFIX = "Bearer ";
  private static final String PURPOSE = "masticspread team token ";

  private final Map<String, String> operators;
  private final SecretKeySpec key;

  /**
   * Creates the tokens.
   *
   * @param operators the names of operators by token
   * @param clusterKey the cluster key
   */
  public Tokens(Map<String, String> operators, String clusterKey) {
    this.operators = Map.copyOf(operators);
    this.key = new SecretKeySpec(clusterKey.getBytes(StandardCharsets.UTF_8), ALGORITHM);
  }

  /**
   * Authenticated caller.
   *
   * @param name the name of the operator or team
   * @param team the team; null for an operator
   */
  public record Caller(String name, TeamId team) {
    /**
     * Returns whether the caller may act for a team.
     *
     * @param other the team
     * @return whether it is the caller's own, or the caller is an operator
     */
    public boolean mayActFor(TeamId other) {
      return isOperator() || team.equals(other);
    }

    /**
     * Returns whether the caller is an operator.
     *
     * @return whether it is one
     */
    public boolean isOperator() {
      return team == null;
    }
  }

  /**
   * Returns the token of a team.
   *
   * @param team the team
   * @return the token
   */
  public String ofTeam(TeamId team) {
    return team.value() + "." + signature(team.value());
  }

  /**
   * Returns the caller that an Authorization header identifies.
   *
   * @param header the header, may be null
   * @return the caller, or empty if the token is missing or unknown
   */
  public Optional<Caller> callerOf(String header) {
    if (header == null || !header.startsWith(PREFIX)) {
      return Optional.empty();
    }
    String token = header.substring(PREFIX.length()).trim();
    return operatorOf(token).or(() -> teamOf(token));
  }

  private Optional<Caller> operatorOf(String token) {
    return operators.entrySet().stream()
        .filter(e -> isEqual(e.getKey(), token))
        .findFirst()
        .map(e -> new Caller(e.getValue(), null));
  }

  private Optional<Caller> teamOf(String token) {
    int dot = token.lastIndexOf('.');
    if (dot <= 0) {
      return Optional.empty();
    }
    String team = token.substring(0, dot);
    if (!Names.isValid(team) || !isEqual(signature(team), token.substring(dot + 1))) {
      return Optional.empty();
    }
    return Optional.of(new Caller(team, TeamId.of(team)));
  }

  private static boolean isEqual(String expected, String given) {
    return MessageDigest.isEqual(
        expected.getBytes(StandardCharsets.UTF_8), given.getBytes(StandardCharsets.UTF_8));
  }

  private String signature(String team) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      byte[] bytes = mac.doFinal((PURPOSE + team).getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(bytes);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(ALGORITHM + " is missing from this Java runtime", e);
    }
  }
}

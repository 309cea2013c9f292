package org.masticspread.model.cell;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The SHA-256 hash of an API key. Keys themselves are neither kept nor logged.
 *
 * @param hex the hash in lower-case hexadecimal digits
 */
public record KeyHash(String hex) {
  /**
   * Hashes a key.
   *
   * @param key the key
   * @return its hash
   */
  public static KeyHash of(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      byte[] hash = digest.digest(key.getBytes(StandardCharsets.UTF_8));
      return new KeyHash(HexFormat.of().formatHex(hash));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}

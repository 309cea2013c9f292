package org.masticspread.wire.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.masticspread.model.id.VmId;

/** The key shared by all VMs. Peers prove that they have the key without sending it. */
public final class ClusterKey {
  /** The size of a nonce, in bytes. */
  static final int NONCE_BYTES = 32;

  private static final int MIN_KEY_BYTES = 16;
  private static final String ALGORITHM = "HmacSHA256";

  private final SecretKeySpec key;
  private final SecureRandom random = new SecureRandom();

  /**
   * Creates a key.
   *
   * @param bytes the key, at least 16 bytes
   */
  public ClusterKey(byte[] bytes) {
    if (bytes.length < MIN_KEY_BYTES) {
      throw new IllegalArgumentException(
          "clusterKey: " + bytes.length + " bytes are not allowed; allowed: 16 bytes or more");
    }
    this.key = new SecretKeySpec(bytes, ALGORITHM);
  }

  byte[] nonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  /**
   * Computes the proof of one side of a connection, bound to the side, both nonces, both VMs and
   * the address of the client.
   */
  byte[] proof(String side, HandshakeMessage hello, byte[] serverNonce, VmId server) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      add(mac, side.getBytes(StandardCharsets.UTF_8));
      add(mac, hello.nonce());
      add(mac, serverNonce);
      add(mac, hello.vm().value().getBytes(StandardCharsets.UTF_8));
      add(mac, server.value().getBytes(StandardCharsets.UTF_8));
      add(mac, hello.address().getBytes(StandardCharsets.UTF_8));
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("this Java platform does not support " + ALGORITHM, e);
    }
  }

  static boolean isSame(byte[] expected, byte[] actual) {
    return actual != null && MessageDigest.isEqual(expected, actual);
  }

  private static void add(Mac mac, byte[] part) {
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
    mac.update(part);
  }
}

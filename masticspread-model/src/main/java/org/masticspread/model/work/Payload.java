package org.masticspread.model.work;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Opaque bytes from a caller or an endpoint.
 *
 * @param bytes the bytes; must not be modified afterwards
 */
public record Payload(byte[] bytes) {
  /** The empty payload. */
  public static final Payload EMPTY = new Payload(new byte[0]);

  /**
   * Encodes a text as UTF-8.
   *
   * @param text the text
   * @return the payload
   */
  public static Payload ofText(String text) {
    return new Payload(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Decodes the bytes as UTF-8.
   *
   * @return the text
   */
  public String asText() {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  /**
   * Returns the number of bytes.
   *
   * @return the size in bytes
   */
  public int sizeBytes() {
    return bytes.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Payload that && Arrays.equals(bytes, that.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return "Payload[" + bytes.length + " bytes]";
  }
}

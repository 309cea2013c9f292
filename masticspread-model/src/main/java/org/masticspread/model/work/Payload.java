package org.masticspread.model.work;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Bytes of a caller or an endpoint that masticspread does not read.
 *
 * @param bytes the bytes; callers must not change them afterwards
 */
public record Payload(byte[] bytes) {
  /** No bytes. */
  public static final Payload EMPTY = new Payload(new byte[0]);

  /**
   * Returns the UTF-8 bytes of a text.
   *
   * @param text the text
   * @return the payload
   */
  public static Payload ofText(String text) {
    return new Payload(text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Returns the bytes read as UTF-8.
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

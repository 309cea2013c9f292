package org.masticspread.state.format;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.masticspread.codec.Mappers;
import org.masticspread.model.work.Payload;
import org.masticspread.state.format.RecordFormatException.Problem;

/**
 * The envelope of stored records: a header with kind, format version and checksum in front of the
 * encoded record.
 *
 * <p>The layout is 2 bytes magic number, 1 byte kind, 1 byte format version, 4 bytes CRC32C of the
 * body, and the body in MessagePack. Example: {@code Envelope.open(key, row.value(),
 * RecordKind.SESSION, SessionRow.class)}.
 */
public final class Envelope {
  private static final short MAGIC = 0x6d73;
  private static final int HEADER_BYTES = 8;

  private Envelope() {}

  /**
   * Encodes a record.
   *
   * @param kind the kind of record
   * @param value the record
   * @return the bytes
   */
  public static Payload seal(RecordKind kind, Object value) {
    byte[] body = encode(value);
    ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + body.length);
    out.putShort(MAGIC);
    out.put((byte) kind.number());
    out.put((byte) kind.version());
    out.putInt(checksum(body, 0));
    out.put(body);
    return new Payload(out.array());
  }

  /**
   * Decodes a record.
   *
   * @param name the key of the row or the name of the object, for error messages
   * @param payload the bytes
   * @param kind the expected kind
   * @param type the type of the record
   * @param <T> the type of the record
   * @return the record
   * @throws RecordFormatException if the bytes are truncated or corrupt, are not a record of the
   *     expected kind or have a newer format version
   */
  public static <T> T open(String name, Payload payload, RecordKind kind, Class<T> type)
      throws RecordFormatException {
    byte[] bytes = payload.bytes();
    if (bytes.length < HEADER_BYTES) {
      throw new RecordFormatException(name, Problem.TORN, "the record is shorter than its header");
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    if (in.getShort() != MAGIC || in.get() != kind.number()) {
      throw new RecordFormatException(
          name, Problem.FOREIGN, "this is not a record of kind " + kind);
    }
    int version = in.get();
    if (version > kind.version()) {
      String detail =
          "format version " + version + " is newer than the supported version " + kind.version();
      throw new RecordFormatException(name, Problem.NEWER_VERSION, detail);
    }
    if (in.getInt() != checksum(bytes, HEADER_BYTES)) {
      throw new RecordFormatException(name, Problem.TORN, "the checksum does not match");
    }
    return decode(name, bytes, type);
  }

  private static <T> T decode(String name, byte[] bytes, Class<T> type)
      throws RecordFormatException {
    try {
      int length = bytes.length - HEADER_BYTES;
      return Mappers.messagePack().readValue(bytes, HEADER_BYTES, length, type);
    } catch (IOException e) {
      throw new RecordFormatException(name, Problem.FOREIGN, String.valueOf(e.getMessage()));
    }
  }

  private static byte[] encode(Object value) {
    try {
      return Mappers.messagePack().writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("record can't be serialized: " + value.getClass(), e);
    }
  }

  private static int checksum(byte[] bytes, int from) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, from, bytes.length - from);
    return (int) crc.getValue();
  }
}

package org.masticspread.wire.internal;

import java.io.IOException;
import org.masticspread.wire.WireFormatException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * One frame: an envelope in MessagePack, an array of version, kind, id, flags and body.
 *
 * @param kind a control kind of this class, or the number of a message
 * @param id the correlation id; an answer repeats the one of its call
 * @param flags the sum of the flags of this class
 * @param body the bytes of the message
 */
public record Frame(int kind, long id, int flags, byte[] body) {
  /** The version of the protocol. */
  public static final int VERSION = 1;

  /** The first frame of a client. */
  public static final int HELLO = 1;

  /** The answer of a server to a hello. */
  public static final int CHALLENGE = 2;

  /** The proof of a client that it holds the cluster key. */
  public static final int PROOF = 3;

  /** The proof of a server that it holds the cluster key. */
  public static final int WELCOME = 4;

  /** Tells that the sender lives. */
  public static final int HEARTBEAT = 5;

  /** Tells that the sender takes no new calls on this connection. */
  public static final int GOODBYE = 6;

  /** An answer without a message. */
  public static final int FAILURE = 7;

  /** The lowest number of a message. */
  public static final int FIRST_MESSAGE = 100;

  /** The frame is an answer. */
  public static final int ANSWER = 1;

  /** With FAILURE: certain that the call had no effect. */
  public static final int NOT_DONE = 2;

  private static final int FIELDS = 5;
  private static final byte[] NO_BODY = new byte[0];

  /**
   * Returns a frame without a body.
   *
   * @param kind the kind
   * @return the frame
   */
  public static Frame control(int kind) {
    return new Frame(kind, 0, 0, NO_BODY);
  }

  /**
   * Tells whether the frame is an answer.
   *
   * @return whether the flag is set
   */
  public boolean isAnswer() {
    return (flags & ANSWER) != 0;
  }

  /**
   * Tells whether a failure is certain to have had no effect.
   *
   * @return whether the flag is set
   */
  public boolean isNotDone() {
    return (flags & NOT_DONE) != 0;
  }

  /**
   * Writes the envelope.
   *
   * @return its bytes, without the length
   */
  public byte[] encode() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(FIELDS).packInt(VERSION).packInt(kind).packLong(id).packInt(flags);
      packer.packBinaryHeader(body.length).addPayload(body);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("memory cannot be written", e);
    }
  }

  /**
   * Reads an envelope.
   *
   * @param bytes its bytes, without the length
   * @return the frame
   * @throws WireFormatException if the bytes are no envelope of this version
   */
  public static Frame decode(byte[] bytes) throws WireFormatException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int fields = unpacker.unpackArrayHeader();
      int version = unpacker.unpackInt();
      if (version != VERSION || fields != FIELDS) {
        throw new WireFormatException("version " + version + " is not " + VERSION, null);
      }
      int kind = unpacker.unpackInt();
      long id = unpacker.unpackLong();
      int flags = unpacker.unpackInt();
      int length = unpacker.unpackBinaryHeader();
      if (length != bytes.length - unpacker.getTotalReadBytes()) {
        throw new WireFormatException("the body is not " + length + " bytes long", null);
      }
      return new Frame(kind, id, flags, unpacker.readPayload(length));
    } catch (IOException | RuntimeException e) {
      throw new WireFormatException("the envelope cannot be read", e);
    }
  }
}

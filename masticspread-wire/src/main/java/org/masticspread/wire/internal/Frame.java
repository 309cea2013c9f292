package org.masticspread.wire.internal;

import java.io.IOException;
import org.masticspread.wire.WireFormatException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * A frame. It is encoded in MessagePack as an array of version, kind, id, flags and body.
 *
 * @param kind one of the control kinds of this class, or the number of a message type
 * @param id the correlation id; an answer has the id of its call
 * @param flags the sum of the flags of this class
 * @param body the bytes of the message
 */
public record Frame(int kind, long id, int flags, byte[] body) {
  /** The version of the protocol. */
  public static final int VERSION = 1;

  /** The first frame of a client, with its nonce. */
  public static final int HELLO = 1;

  /** The answer of a server to a hello, with its nonce. */
  public static final int CHALLENGE = 2;

  /** The proof of a client that it has the cluster key. */
  public static final int PROOF = 3;

  /** The proof of a server that it has the cluster key. */
  public static final int WELCOME = 4;

  /** Signals that the sender is alive. */
  public static final int HEARTBEAT = 5;

  /** Signals that the sender accepts no new calls on this connection. */
  public static final int GOODBYE = 6;

  /** An answer to a failed call; the body is an error message. */
  public static final int FAILURE = 7;

  /** The lowest number of a message. */
  public static final int FIRST_MESSAGE = 100;

  /** Flag: the frame is an answer. */
  public static final int ANSWER = 1;

  /** Flag of FAILURE frames: the call certainly had no effect. */
  public static final int NO_EFFECT = 2;

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
   * Returns whether the frame is an answer.
   *
   * @return whether the flag is set
   */
  public boolean isAnswer() {
    return (flags & ANSWER) != 0;
  }

  /**
   * Returns whether a failed call certainly had no effect.
   *
   * @return whether the flag is set
   */
  public boolean hasNoEffect() {
    return (flags & NO_EFFECT) != 0;
  }

  /**
   * Encodes the frame.
   *
   * @return the bytes, without the length prefix
   */
  public byte[] encode() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(FIELDS).packInt(VERSION).packInt(kind).packLong(id).packInt(flags);
      packer.packBinaryHeader(body.length).addPayload(body);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode the frame", e);
    }
  }

  /**
   * Decodes a frame.
   *
   * @param bytes the bytes, without the length prefix
   * @return the frame
   * @throws WireFormatException if the bytes are not a frame of this protocol version
   */
  public static Frame decode(byte[] bytes) throws WireFormatException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int fields = unpacker.unpackArrayHeader();
      int version = unpacker.unpackInt();
      if (version != VERSION || fields != FIELDS) {
        throw new WireFormatException("protocol version " + version + " is not " + VERSION, null);
      }
      int kind = unpacker.unpackInt();
      long id = unpacker.unpackLong();
      int flags = unpacker.unpackInt();
      int length = unpacker.unpackBinaryHeader();
      if (length != bytes.length - unpacker.getTotalReadBytes()) {
        throw new WireFormatException("the frame body is not " + length + " bytes long", null);
      }
      return new Frame(kind, id, flags, unpacker.readPayload(length));
    } catch (IOException | RuntimeException e) {
      throw new WireFormatException("the frame cannot be decoded", e);
    }
  }
}

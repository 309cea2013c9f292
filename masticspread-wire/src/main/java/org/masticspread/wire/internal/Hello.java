package org.masticspread.wire.internal;

import java.io.IOException;
import org.masticspread.codec.Mappers;
import org.masticspread.model.id.VmId;
import org.masticspread.wire.WireFormatException;

/**
 * The body of the frames of a handshake.
 *
 * @param vm the sender; null in a proof
 * @param address where the sender listens; may be empty
 * @param nonce fresh random bytes; empty in a proof
 * @param proof the proof of the sender; empty before it can have one
 */
record Hello(VmId vm, String address, byte[] nonce, byte[] proof) {
  static final byte[] NOTHING = new byte[0];

  byte[] encode() {
    try {
      return Mappers.messagePack().writeValueAsBytes(this);
    } catch (IOException e) {
      throw new IllegalStateException("memory cannot be written", e);
    }
  }

  static Hello decode(Frame frame, int kind) throws WireFormatException {
    if (frame.kind() != kind) {
      throw new WireFormatException("kind " + frame.kind() + " instead of " + kind, null);
    }
    try {
      Hello hello = Mappers.messagePack().readValue(frame.body(), Hello.class);
      boolean whole =
          hello != null
              && hello.vm() != null
              && hello.address() != null
              && hello.nonce() != null
              && hello.proof() != null;
      if (!whole) {
        throw new WireFormatException("a field of the handshake is missing", null);
      }
      return hello;
    } catch (IOException | RuntimeException e) {
      throw new WireFormatException("the handshake cannot be read", e);
    }
  }
}

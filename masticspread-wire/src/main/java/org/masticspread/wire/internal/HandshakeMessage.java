package org.masticspread.wire.internal;

import java.io.IOException;
import org.masticspread.codec.Mappers;
import org.masticspread.model.id.VmId;
import org.masticspread.wire.WireFormatException;

/**
 * The body of a handshake frame.
 *
 * @param vm the sender
 * @param address where the sender listens; may be empty
 * @param nonce fresh random bytes; empty in a proof
 * @param proof the proof of the sender; empty in a hello and in a challenge
 */
record HandshakeMessage(VmId vm, String address, byte[] nonce, byte[] proof) {
  static final byte[] EMPTY = new byte[0];

  byte[] encode() {
    try {
      return Mappers.messagePack().writeValueAsBytes(this);
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode the handshake message", e);
    }
  }

  static HandshakeMessage decode(Frame frame, int kind) throws WireFormatException {
    if (frame.kind() != kind) {
      throw new WireFormatException("frame kind " + frame.kind() + " instead of " + kind, null);
    }
    try {
      HandshakeMessage message =
          Mappers.messagePack().readValue(frame.body(), HandshakeMessage.class);
      boolean complete =
          message != null
              && message.vm() != null
              && message.address() != null
              && message.nonce() != null
              && message.proof() != null;
      if (!complete) {
        throw new WireFormatException("a field of the handshake message is missing", null);
      }
      return message;
    } catch (IOException | RuntimeException e) {
      throw new WireFormatException("the handshake message cannot be decoded", e);
    }
  }
}

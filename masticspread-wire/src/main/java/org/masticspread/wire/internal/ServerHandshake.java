package org.masticspread.wire.internal;

import io.netty.channel.ChannelHandlerContext;
import org.masticspread.model.id.VmId;
import org.masticspread.wire.WireFormatException;

/**
 * The handshake on the side that accepted the connection. The server sends its proof only after it
 * has verified the proof of the client.
 */
abstract class ServerHandshake extends Handshake {
  private final byte[] nonce;
  private HandshakeMessage hello;

  ServerHandshake(WireContext wire) {
    super(wire);
    this.nonce = wire.key().nonce();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame)
      throws WireFormatException {
    if (hello == null) {
      hello = HandshakeMessage.decode(frame, Frame.HELLO);
      check(hello.nonce().length == ClusterKey.NONCE_BYTES, "the nonce has a wrong length");
      send(
          context,
          Frame.CHALLENGE,
          new HandshakeMessage(wire.self(), "", nonce, HandshakeMessage.EMPTY));
      return;
    }
    byte[] expected = wire.key().proof(CLIENT, hello, nonce, wire.self());
    byte[] actual = HandshakeMessage.decode(frame, Frame.PROOF).proof();
    check(ClusterKey.isSame(expected, actual), "the client has another cluster key");
    byte[] proof = wire.key().proof(SERVER, hello, nonce, wire.self());
    send(
        context,
        Frame.WELCOME,
        new HandshakeMessage(wire.self(), wire.address(), HandshakeMessage.EMPTY, proof));
    finish(context, peer());
  }

  /** Returns the peer VM. Must not be called before a hello was received. */
  VmId peer() {
    return hello.vm();
  }
}

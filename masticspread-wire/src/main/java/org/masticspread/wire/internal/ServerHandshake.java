package org.masticspread.wire.internal;

import io.netty.channel.ChannelHandlerContext;
import org.masticspread.model.id.VmId;
import org.masticspread.wire.WireFormatException;

/** The handshake of the end that accepted the connection; it proves itself last. */
abstract class ServerHandshake extends Handshake {
  private final byte[] nonce;
  private Hello hello;

  ServerHandshake(Wire wire) {
    super(wire);
    this.nonce = wire.key().nonce();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame)
      throws WireFormatException {
    if (hello == null) {
      hello = Hello.decode(frame, Frame.HELLO);
      require(hello.nonce().length == ClusterKey.NONCE_BYTES, "the nonce has a wrong length");
      send(context, Frame.CHALLENGE, new Hello(wire.self(), "", nonce, Hello.NOTHING));
      return;
    }
    byte[] expected = wire.key().proof(CLIENT, hello, nonce, wire.self());
    byte[] actual = Hello.decode(frame, Frame.PROOF).proof();
    require(ClusterKey.isSame(expected, actual), "the client has another cluster key");
    byte[] proof = wire.key().proof(SERVER, hello, nonce, wire.self());
    send(context, Frame.WELCOME, new Hello(wire.self(), wire.address(), Hello.NOTHING, proof));
    finish(context, peer());
  }

  /** Returns the VM at the other end; known once a hello came. */
  VmId peer() {
    return hello.vm();
  }
}

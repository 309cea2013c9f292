package org.masticspread.wire.internal;

import io.netty.channel.ChannelHandlerContext;
import org.masticspread.model.id.VmId;
import org.masticspread.wire.WireFormatException;

/** The handshake of the end that opened the connection. */
abstract class ClientHandshake extends Handshake {
  private final VmId expected;
  private final Hello hello;
  private byte[] serverNonce;

  ClientHandshake(Wire wire, VmId expected) {
    super(wire);
    this.expected = expected;
    this.hello = new Hello(wire.self(), wire.address(), wire.key().nonce(), Hello.NOTHING);
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    super.channelActive(context);
    send(context, Frame.HELLO, hello);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Frame frame)
      throws WireFormatException {
    if (serverNonce == null) {
      prove(context, Hello.decode(frame, Frame.CHALLENGE));
      return;
    }
    Hello welcome = Hello.decode(frame, Frame.WELCOME);
    byte[] proof = wire.key().proof(SERVER, hello, serverNonce, expected);
    require(ClusterKey.isSame(proof, welcome.proof()), "the server has another cluster key");
    finish(context, expected);
  }

  private void prove(ChannelHandlerContext context, Hello challenge) throws WireFormatException {
    require(challenge.vm().equals(expected), "it is " + challenge.vm() + ", not " + expected);
    require(challenge.nonce().length == ClusterKey.NONCE_BYTES, "the nonce has a wrong length");
    serverNonce = challenge.nonce();
    byte[] proof = wire.key().proof(CLIENT, hello, serverNonce, expected);
    send(context, Frame.PROOF, new Hello(wire.self(), wire.address(), Hello.NOTHING, proof));
  }
}

package org.masticspread.wire.internal;

import io.netty.channel.ChannelHandlerContext;
import org.masticspread.model.id.VmId;
import org.masticspread.wire.WireFormatException;

/** The handshake on the side that opened the connection. */
abstract class ClientHandshake extends Handshake {
  private final VmId expected;
  private final HandshakeMessage hello;
  private byte[] serverNonce;

  ClientHandshake(WireContext wire, VmId expected) {
    super(wire);
    this.expected = expected;
    this.hello =
        new HandshakeMessage(
            wire.self(), wire.address(), wire.key().nonce(), HandshakeMessage.EMPTY);
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
      sendProof(context, HandshakeMessage.decode(frame, Frame.CHALLENGE));
      return;
    }
    HandshakeMessage welcome = HandshakeMessage.decode(frame, Frame.WELCOME);
    byte[] proof = wire.key().proof(SERVER, hello, serverNonce, expected);
    check(ClusterKey.isSame(proof, welcome.proof()), "the server has another cluster key");
    finish(context, expected);
  }

  private void sendProof(ChannelHandlerContext context, HandshakeMessage challenge)
      throws WireFormatException {
    check(challenge.vm().equals(expected), "the server is " + challenge.vm() + ", not " + expected);
    check(challenge.nonce().length == ClusterKey.NONCE_BYTES, "the nonce has a wrong length");
    serverNonce = challenge.nonce();
    byte[] proof = wire.key().proof(CLIENT, hello, serverNonce, expected);
    send(
        context,
        Frame.PROOF,
        new HandshakeMessage(wire.self(), wire.address(), HandshakeMessage.EMPTY, proof));
  }
}

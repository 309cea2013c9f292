package org.masticspread.wire.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import java.util.List;
import org.masticspread.wire.WireFormatException;

/** Encodes and decodes frames, each preceded by its length in four bytes. */
public final class FrameCodec extends ByteToMessageCodec<Frame> {
  /** The maximum frame size before authentication, in bytes. */
  public static final int MAX_UNAUTHENTICATED_FRAME_BYTES = 1024;

  private static final int LENGTH_BYTES = 4;

  private final WireMetrics metrics;
  private int maxBytes = MAX_UNAUTHENTICATED_FRAME_BYTES;

  /**
   * Creates a codec with the maximum frame size for unauthenticated peers.
   *
   * @param metrics the counters of frames and bytes
   */
  public FrameCodec(WireMetrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Sets the maximum frame size. Called on the event loop once the peer is authenticated.
   *
   * @param maxFrameBytes the maximum frame size in bytes
   */
  public void setMaxFrameBytes(int maxFrameBytes) {
    maxBytes = maxFrameBytes;
  }

  @Override
  protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
    byte[] bytes = frame.encode();
    out.writeInt(bytes.length);
    out.writeBytes(bytes);
    metrics.sent(context.channel().remoteAddress(), frame.kind(), bytes.length + LENGTH_BYTES);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws WireFormatException {
    if (in.readableBytes() < LENGTH_BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length < 0 || length > maxBytes) {
      in.skipBytes(in.readableBytes());
      throw new WireFormatException(
          "a frame of " + length + " bytes exceeds the maximum frame size", null);
    }
    if (in.readableBytes() < LENGTH_BYTES + length) {
      return;
    }
    in.skipBytes(LENGTH_BYTES);
    byte[] bytes = new byte[length];
    in.readBytes(bytes);
    Frame frame = Frame.decode(bytes);
    metrics.received(context.channel().remoteAddress(), frame.kind(), length + LENGTH_BYTES);
    out.add(frame);
  }
}

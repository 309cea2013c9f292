package org.masticspread.wire.internal;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import java.util.List;
import org.masticspread.wire.WireFormatException;

/** Cuts the stream into frames, each after its length in four bytes. */
public final class FrameCodec extends ByteToMessageCodec<Frame> {
  /** The largest frame before authentication, in bytes. */
  public static final int MOST_STRANGER_BYTES = 1024;

  private static final int LENGTH_BYTES = 4;

  private final WireMetrics metrics;
  private int limit = MOST_STRANGER_BYTES;

  /**
   * Creates a codec with the limit for strangers.
   *
   * @param metrics counts frames and bytes
   */
  public FrameCodec(WireMetrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Sets the limit; called on the event loop once the peer is authenticated.
   *
   * @param mostBytes the largest frame, in bytes
   */
  public void allow(int mostBytes) {
    limit = mostBytes;
  }

  @Override
  protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
    byte[] bytes = frame.encode();
    out.writeInt(bytes.length);
    out.writeBytes(bytes);
    metrics.sent(frame.kind(), bytes.length + LENGTH_BYTES);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws WireFormatException {
    if (in.readableBytes() < LENGTH_BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length < 0 || length > limit) {
      in.skipBytes(in.readableBytes());
      throw new WireFormatException("a frame of " + length + " bytes is over its limit", null);
    }
    if (in.readableBytes() < LENGTH_BYTES + length) {
      return;
    }
    in.skipBytes(LENGTH_BYTES);
    byte[] bytes = new byte[length];
    in.readBytes(bytes);
    Frame frame = Frame.decode(bytes);
    metrics.received(frame.kind(), length + LENGTH_BYTES);
    out.add(frame);
  }
}

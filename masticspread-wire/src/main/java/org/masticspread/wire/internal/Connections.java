package org.masticspread.wire.internal;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.function.Supplier;
import org.masticspread.wire.WireSettings;

/** Creates bootstraps with the channel options and the first handlers of connections. */
public final class Connections {
  private static final int MAX_ENVELOPE_BYTES = 64;

  private Connections() {}

  /** Returns the maximum size of a message body, in bytes. */
  static int maxBodyBytes(WireSettings settings) {
    return settings.maxFrameBytes() - MAX_ENVELOPE_BYTES;
  }

  static Bootstrap client(WireContext wire, EventLoopGroup loops, Supplier<Handshake> handshakes) {
    return new Bootstrap()
        .group(loops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) wire.settings().connectTimeout().toMillis())
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark(wire.settings()))
        .handler(initializer(wire, handshakes));
  }

  static ServerBootstrap server(
      WireContext wire, EventLoopGroup loops, Supplier<Handshake> handshakes) {
    return new ServerBootstrap()
        .group(loops)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark(wire.settings()))
        .childHandler(initializer(wire, handshakes));
  }

  private static WriteBufferWaterMark waterMark(WireSettings settings) {
    return new WriteBufferWaterMark(settings.maxQueuedBytes() / 2, settings.maxQueuedBytes());
  }

  private static ChannelInitializer<SocketChannel> initializer(
      WireContext wire, Supplier<Handshake> handshakes) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        channel.pipeline().addLast(new FrameCodec(wire.metrics())).addLast(handshakes.get());
      }
    };
  }
}

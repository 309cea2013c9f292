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

/** Prepares connections: options and the first handlers. */
public final class Connections {
  private static final int ENVELOPE_BYTES = 64;

  private Connections() {}

  /** Returns the largest body of a message, in bytes. */
  static int mostBodyBytes(WireSettings settings) {
    return settings.mostFrameBytes() - ENVELOPE_BYTES;
  }

  static Bootstrap client(Wire wire, EventLoopGroup loops, Supplier<Handshake> handshakes) {
    return new Bootstrap()
        .group(loops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) wire.settings().connectTimeout().toMillis())
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark(wire.settings()))
        .handler(initializer(wire, handshakes));
  }

  static ServerBootstrap server(Wire wire, EventLoopGroup loops, Supplier<Handshake> handshakes) {
    return new ServerBootstrap()
        .group(loops)
        .channel(NioServerSocketChannel.class)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark(wire.settings()))
        .childHandler(initializer(wire, handshakes));
  }

  private static WriteBufferWaterMark waterMark(WireSettings settings) {
    return new WriteBufferWaterMark(settings.mostQueuedBytes() / 2, settings.mostQueuedBytes());
  }

  private static ChannelInitializer<SocketChannel> initializer(
      Wire wire, Supplier<Handshake> handshakes) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        channel.pipeline().addLast(new FrameCodec(wire.metrics())).addLast(handshakes.get());
      }
    };
  }
}

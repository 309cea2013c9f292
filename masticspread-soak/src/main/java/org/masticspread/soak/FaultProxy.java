package org.masticspread.soak;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A TCP proxy to one address that can inject faults into its connections. */
final class FaultProxy {
  private static final int DELAY_MS = 150;

  /** The treatment of bytes that pass through the proxy. */
  enum Mode {
    /** Bytes are forwarded. */
    PASS,
    /** Bytes are forwarded after a delay. */
    DELAY,
    /** Bytes to the target are dropped. */
    CUT_REQUESTS,
    /** Bytes from the target are dropped, so calls take effect but their answers are lost. */
    CUT_ANSWERS,
    /** Bytes in both directions are dropped. */
    CUT
  }

  private final EventLoopGroup loops;
  private final InetSocketAddress target;
  private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
  private final Channel listener;
  private volatile Mode mode = Mode.PASS;

  /** How often the connections went silent; written by one thread. */
  private volatile int silences;

  /** The connections that wait for the end of an isolation; guarded by this object. */
  private final Set<Channel> waiting = new HashSet<>();

  /** Guarded by this object. */
  private boolean isolated;

  FaultProxy(EventLoopGroup loops, InetSocketAddress target) {
    this.loops = loops;
    this.target = target;
    this.listener =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(new ConnectionInitializer())
            .bind("127.0.0.1", 0)
            .syncUninterruptibly()
            .channel();
  }

  String address() {
    return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
  }

  void mode(Mode newMode) {
    mode = newMode;
  }

  /** Lets every open connection go silent, without an end; new ones work. */
  void silence() {
    silences++;
  }

  /** Lets every open connection go silent; new ones are accepted but wait. */
  synchronized void isolate() {
    isolated = true;
    silence();
  }

  /** Ends an isolation: resets the silent connections, and forwards those that waited. */
  synchronized void rejoin() {
    isolated = false;
    Set<Channel> silent = new HashSet<>(channels);
    silent.removeAll(waiting);
    reset(silent);
    waiting.forEach(this::connect);
    waiting.clear();
  }

  /** Resets every open connection. */
  void reset() {
    reset(channels);
  }

  private static void reset(Set<Channel> channels) {
    for (Channel channel : channels) {
      // On its event loop, where it cannot be closed between the check and the option.
      channel.eventLoop().execute(() -> reset(channel));
    }
  }

  private static void reset(Channel channel) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  private synchronized void connectOrWait(Channel caller) {
    if (isolated) {
      waiting.add(caller);
      return;
    }
    connect(caller);
  }

  private void connect(Channel caller) {
    int silencesBefore = silences;
    ChannelFuture connect =
        new Bootstrap()
            .group(caller.eventLoop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.AUTO_READ, false)
            .handler(new ChannelInboundHandlerAdapter())
            .connect(target);
    connect.addListener(
        (ChannelFuture done) -> {
          if (!done.isSuccess()) {
            caller.close();
            return;
          }
          Channel server = done.channel();
          caller
              .pipeline()
              .addLast(new ForwardingHandler(server, Mode.CUT_REQUESTS, silencesBefore));
          server
              .pipeline()
              .addLast(new ForwardingHandler(caller, Mode.CUT_ANSWERS, silencesBefore));
          caller.config().setAutoRead(true);
          server.config().setAutoRead(true);
        });
  }

  private final class ConnectionInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel caller) {
      channels.add(caller);
      caller.closeFuture().addListener(done -> channels.remove(caller));
      connectOrWait(caller);
    }
  }

  private final class ForwardingHandler extends ChannelInboundHandlerAdapter {
    private final Channel other;
    private final Mode dropMode;
    private final int silencesBefore;

    ForwardingHandler(Channel other, Mode dropMode, int silencesBefore) {
      this.other = other;
      this.dropMode = dropMode;
      this.silencesBefore = silencesBefore;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
      Mode current = mode;
      if (current == dropMode || current == Mode.CUT || silences != silencesBefore) {
        ReferenceCountUtil.release(bytes);
        return;
      }
      if (current == Mode.DELAY) {
        other.eventLoop().schedule(() -> write(bytes), DELAY_MS, TimeUnit.MILLISECONDS);
        return;
      }
      write(bytes);
    }

    private void write(Object bytes) {
      other.writeAndFlush(bytes).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      other.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}

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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Passes connections on to one address, and harms them when told to. */
final class FaultProxy {
  private static final int DELAY_MS = 150;

  /** What happens to bytes. */
  enum Mode {
    /** They are passed on. */
    PASS,
    /** They are passed on late. */
    DELAY,
    /** They vanish on their way to the target. */
    CUT_REQUESTS,
    /** They vanish on their way back: calls are carried out, answers are lost. */
    CUT_ANSWERS
  }

  private final EventLoopGroup loops;
  private final InetSocketAddress target;
  private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
  private final Channel listener;
  private volatile Mode mode = Mode.PASS;

  FaultProxy(EventLoopGroup loops, InetSocketAddress target) {
    this.loops = loops;
    this.target = target;
    this.listener =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(new Accept())
            .bind("127.0.0.1", 0)
            .syncUninterruptibly()
            .channel();
  }

  String address() {
    return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
  }

  void mode(Mode next) {
    mode = next;
  }

  /** Resets every open connection. */
  void reset() {
    for (Channel channel : channels) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  private final class Accept extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel caller) {
      channels.add(caller);
      caller.closeFuture().addListener(done -> channels.remove(caller));
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
            caller.pipeline().addLast(new Pass(server, Mode.CUT_REQUESTS));
            server.pipeline().addLast(new Pass(caller, Mode.CUT_ANSWERS));
            caller.config().setAutoRead(true);
            server.config().setAutoRead(true);
          });
    }
  }

  private final class Pass extends ChannelInboundHandlerAdapter {
    private final Channel other;
    private final Mode cut;

    Pass(Channel other, Mode cut) {
      this.other = other;
      this.cut = cut;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
      Mode now = mode;
      if (now == cut) {
        ReferenceCountUtil.release(bytes);
        return;
      }
      if (now == Mode.DELAY) {
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

package org.masticspread.wire.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import org.masticspread.model.id.VmId;

/**
 * Sends heartbeats and closes a connection on which nothing came for two of them. Beats that come
 * in a burst, after a pause of this process, count once, so that a pause is not taken for silence.
 */
final class Heartbeats extends ChannelInboundHandlerAdapter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MOST_MISSED = 2;

  private final Wire wire;
  private final VmId peer;
  private Disposable beats = Disposable.disposed();
  private boolean heard = true;
  private int missed;
  private long latestBeat;

  Heartbeats(Wire wire, VmId peer) {
    this.wire = wire;
    this.peer = peer;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    long interval = wire.settings().heartbeat().toNanos();
    latestBeat = now();
    beats =
        Observable.interval(interval, TimeUnit.NANOSECONDS, wire.timers())
            .subscribe(count -> context.executor().execute(() -> beat(context)));
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    beats.dispose();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    beats.dispose();
    context.fireChannelInactive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    heard = true;
    if (message instanceof Frame frame && frame.kind() == Frame.HEARTBEAT) {
      return;
    }
    context.fireChannelRead(message);
  }

  private void beat(ChannelHandlerContext context) {
    long now = now();
    long passed = now - latestBeat;
    if (passed >= 0 && passed < wire.settings().heartbeat().toNanos() / 2) {
      return;
    }
    latestBeat = now;
    missed = heard ? 0 : missed + 1;
    heard = false;
    if (missed < MOST_MISSED) {
      context.writeAndFlush(Frame.control(Frame.HEARTBEAT));
      return;
    }
    wire.metrics().silent();
    logger.atWarning().log("wire: connection to %s is silent, closed", peer);
    context.close();
  }

  private long now() {
    return wire.timers().now(TimeUnit.NANOSECONDS);
  }
}

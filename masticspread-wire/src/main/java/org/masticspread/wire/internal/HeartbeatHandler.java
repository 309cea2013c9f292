package org.masticspread.wire.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import org.masticspread.model.id.VmId;

/**
 * Sends heartbeats and closes a connection on which nothing is received for two heartbeat
 * intervals. Timer ticks that arrive in a burst after a pause of this process count once, so that
 * the pause is not taken for a silent peer.
 */
final class HeartbeatHandler extends ChannelInboundHandlerAdapter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_MISSED_HEARTBEATS = 2;

  private final WireContext wire;
  private final VmId peer;
  private Disposable timer = Disposable.disposed();
  private boolean received = true;
  private int missed;
  private long lastTickNanos;

  HeartbeatHandler(WireContext wire, VmId peer) {
    this.wire = wire;
    this.peer = peer;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    long interval = wire.settings().heartbeatInterval().toNanos();
    lastTickNanos = now();
    timer =
        Observable.interval(interval, TimeUnit.NANOSECONDS, wire.timers())
            .subscribe(count -> context.executor().execute(() -> tick(context)));
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    timer.dispose();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    timer.dispose();
    context.fireChannelInactive();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    received = true;
    if (message instanceof Frame frame && frame.kind() == Frame.HEARTBEAT) {
      return;
    }
    context.fireChannelRead(message);
  }

  private void tick(ChannelHandlerContext context) {
    long now = now();
    long sinceLastTick = now - lastTickNanos;
    if (sinceLastTick >= 0 && sinceLastTick < wire.settings().heartbeatInterval().toNanos() / 2) {
      return;
    }
    lastTickNanos = now;
    missed = received ? 0 : missed + 1;
    received = false;
    if (missed < MAX_MISSED_HEARTBEATS) {
      context.writeAndFlush(Frame.control(Frame.HEARTBEAT));
      return;
    }
    wire.metrics().silentConnection();
    logger.atWarning().log("wire: closing the silent connection to %s", peer);
    context.close();
  }

  private long now() {
    return wire.timers().now(TimeUnit.NANOSECONDS);
  }
}

package org.masticspread.wire.internal;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.wire.MessageTypes;
import org.masticspread.wire.WireFormatException;

/** Calls to one peer over one connection, which is replaced when it is lost. Thread-safe. */
public final class Target {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Wire wire;
  private final VmId peer;
  private final EventLoopGroup loops;
  private final Supplier<Optional<InetSocketAddress>> address;
  private final CallCount inFlight = new CallCount();
  private final Object lock = new Object();
  private final Queue<PendingCall> waiting = new ArrayDeque<>();
  private final Backoff backoff;
  private Link link;
  private Channel connecting;
  private boolean attempting;
  private boolean closed;

  /**
   * Creates a target; it connects with the first call.
   *
   * @param wire what all connections share
   * @param peer the peer
   * @param loops runs the connection
   * @param address tells where the peer listens
   */
  public Target(
      Wire wire, VmId peer, EventLoopGroup loops, Supplier<Optional<InetSocketAddress>> address) {
    this.wire = wire;
    this.peer = peer;
    this.loops = loops;
    this.address = address;
    this.backoff = new Backoff(wire.settings().firstBackoff(), wire.settings().longestBackoff());
  }

  /**
   * Sends a message and waits for its answer.
   *
   * @param message the message
   * @param timeout how long to wait
   * @return the answer, completed off the event loops
   */
  public CompletionStage<PeerMessage> call(PeerMessage message, Duration timeout) {
    byte[] body;
    int kind;
    try {
      kind = MessageTypes.numberOf(message);
      body = MessageTypes.write(message);
    } catch (WireFormatException | IllegalArgumentException e) {
      return refused(e.getMessage());
    }
    if (body.length > Connections.mostBodyBytes(wire.settings())) {
      return refused("the message is too large: " + body.length + " bytes");
    }
    if (!inFlight.tryAdd(wire.settings().mostInFlight())) {
      return refused("too many calls are in flight");
    }
    PendingCall call = new PendingCall(kind, body, wire.completions(), inFlight::remove);
    call.timedBy(
        wire.timers().scheduleDirect(() -> expire(call), timeout.toNanos(), TimeUnit.NANOSECONDS));
    send(call);
    return call.future();
  }

  /** Refuses new calls, waits for those in flight within the bound, then closes the connection. */
  public void close() {
    synchronized (lock) {
      closed = true;
    }
    int left = inFlight.awaitNone(wire.settings().closeTimeout());
    if (left > 0) {
      logger.atWarning().log("wire: closes %s with %d calls in flight", peer, left);
    }
    synchronized (lock) {
      if (link != null) {
        link.close();
      }
      if (connecting != null) {
        connecting.close();
      }
    }
  }

  private CompletionStage<PeerMessage> refused(String detail) {
    PendingCall call = new PendingCall(0, Hello.NOTHING, wire.completions(), () -> {});
    call.fail(false, peer + ": " + detail);
    return call.future();
  }

  private void expire(PendingCall call) {
    call.fail("no answer from " + peer + " in time");
    synchronized (lock) {
      waiting.remove(call);
    }
  }

  private void send(PendingCall call) {
    Link ready;
    synchronized (lock) {
      ready = link;
      if (ready == null && !enqueue(call)) {
        return;
      }
    }
    if (ready != null) {
      ready.send(call);
      return;
    }
    attempt(false);
  }

  /** Lets a call wait for a connection, unless there can be none now. */
  private boolean enqueue(PendingCall call) {
    if (closed) {
      call.fail(false, peer + ": closed");
      return false;
    }
    if (!attempting && backoff.mustWait(now())) {
      call.fail(false, peer + ": not connected; the next attempt comes later");
      return false;
    }
    waiting.add(call);
    return true;
  }

  /** Starts to connect if a call waits for it, or to replace a lost connection. */
  private void attempt(boolean replacing) {
    Optional<InetSocketAddress> found = address.get();
    ChannelFuture connect = null;
    synchronized (lock) {
      boolean wanted = !waiting.isEmpty() || (replacing && !closed);
      if (attempting || link != null || !wanted) {
        return;
      }
      attempting = true;
      if (found.isPresent()) {
        connect = Connections.client(wire, loops, PeerHandshake::new).connect(found.get());
      }
    }
    if (connect == null) {
      failed("its address is not known", false);
      return;
    }
    connect.addListener(
        done -> {
          if (!done.isSuccess()) {
            failed(String.valueOf(done.cause().getMessage()), nobodyListens(done.cause()));
          }
        });
  }

  /** A time-out is reported as a kind of refusal, but says nothing about the peer's process. */
  private static boolean nobodyListens(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  private void failed(String detail, boolean refused) {
    List<PendingCall> unsent;
    synchronized (lock) {
      attempting = false;
      connecting = null;
      backoff.failed(now());
      unsent = drain();
    }
    logger.atFine().log("wire: cannot connect to %s: %s", peer, detail);
    String reason = "cannot connect to " + peer + ": " + detail;
    for (PendingCall call : unsent) {
      if (refused) {
        call.refuse(reason);
      } else {
        call.fail(false, reason);
      }
    }
  }

  private void ready(Link fresh) {
    List<PendingCall> unsent;
    boolean unwanted;
    synchronized (lock) {
      attempting = false;
      connecting = null;
      link = fresh;
      backoff.succeeded();
      unsent = drain();
      unwanted = closed;
    }
    unsent.forEach(fresh::send);
    if (unwanted) {
      fresh.leave();
    }
  }

  private void leaving(Link old) {
    synchronized (lock) {
      link = link == old ? null : link;
    }
  }

  /** Replaces a connection that was lost in use. */
  private void lost(Link old) {
    synchronized (lock) {
      if (link != old) {
        return;
      }
      link = null;
      if (closed) {
        return;
      }
    }
    wire.metrics().reconnected();
    attempt(true);
  }

  private List<PendingCall> drain() {
    List<PendingCall> calls = new ArrayList<>(waiting);
    waiting.clear();
    return calls;
  }

  private long now() {
    return wire.timers().now(TimeUnit.NANOSECONDS);
  }

  /** The handshake that makes its connection the current one. */
  private final class PeerHandshake extends ClientHandshake {
    private Link fresh;

    PeerHandshake() {
      super(Target.this.wire, Target.this.peer);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      synchronized (lock) {
        connecting = context.channel();
      }
      context.channel().closeFuture().addListener(done -> ended());
      super.channelActive(context);
    }

    @Override
    void authenticated(ChannelHandlerContext context) {
      fresh = new Link(wire, peer, context.channel(), () -> leaving(fresh));
      context.pipeline().addLast(fresh);
      ready(fresh);
    }

    private void ended() {
      if (fresh == null) {
        failed("the handshake failed", false);
      } else {
        lost(fresh);
      }
    }
  }
}

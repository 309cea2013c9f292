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

/** Sends calls to one peer over one connection, which is replaced when it is lost. Thread-safe. */
public final class PeerConnection {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final WireContext wire;
  private final VmId peer;
  private final EventLoopGroup loops;
  private final Supplier<Optional<InetSocketAddress>> address;
  private final CallCount inFlight = new CallCount();
  private final Object lock = new Object();
  private final Queue<PendingCall> waiting = new ArrayDeque<>();
  private final Backoff backoff;
  private ClientCallHandler current;
  private Channel connecting;
  private boolean connectInProgress;
  private boolean closed;

  /**
   * Creates a peer connection, which connects at the first call.
   *
   * @param wire the context shared by all connections
   * @param peer the peer
   * @param loops the event loops of the connection
   * @param address returns the address of the peer
   */
  public PeerConnection(
      WireContext wire,
      VmId peer,
      EventLoopGroup loops,
      Supplier<Optional<InetSocketAddress>> address) {
    this.wire = wire;
    this.peer = peer;
    this.loops = loops;
    this.address = address;
    this.backoff = new Backoff(wire.settings().initialBackoff(), wire.settings().maxBackoff());
  }

  /**
   * Sends a message and waits for its answer.
   *
   * @param message the message
   * @param timeout how long to wait for the answer
   * @return a stage with the answer, which does not complete on an event loop
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
    if (body.length > Connections.maxBodyBytes(wire.settings())) {
      return refused("the message is too large: " + body.length + " bytes");
    }
    if (!inFlight.tryAdd(wire.settings().maxInFlightCalls())) {
      return refused("too many calls are in flight");
    }
    PendingCall call = new PendingCall(kind, body, wire.completionExecutor(), inFlight::remove);
    call.setTimeout(
        wire.timers().scheduleDirect(() -> timeOut(call), timeout.toNanos(), TimeUnit.NANOSECONDS));
    send(call);
    return call.future();
  }

  /**
   * Refuses new calls, waits for calls in flight up to the close timeout and then closes the
   * connection.
   */
  public void close() {
    synchronized (lock) {
      closed = true;
    }
    int left = inFlight.awaitZero(wire.settings().closeTimeout());
    if (left > 0) {
      logger.atWarning().log(
          "wire: closing the connection to %s with %d calls in flight", peer, left);
    }
    synchronized (lock) {
      if (current != null) {
        current.close();
      }
      if (connecting != null) {
        connecting.close();
      }
    }
  }

  private CompletionStage<PeerMessage> refused(String detail) {
    PendingCall call =
        new PendingCall(0, HandshakeMessage.EMPTY, wire.completionExecutor(), () -> {});
    call.fail(false, peer + ": " + detail);
    return call.future();
  }

  private void timeOut(PendingCall call) {
    call.fail("no answer from " + peer + " in time");
    synchronized (lock) {
      waiting.remove(call);
    }
  }

  private void send(PendingCall call) {
    ClientCallHandler ready;
    synchronized (lock) {
      ready = current;
      if (ready == null && !enqueue(call)) {
        return;
      }
    }
    if (ready != null) {
      ready.send(call);
      return;
    }
    connectIfNeeded(false);
  }

  /**
   * Queues a call until a connection is open. Fails the call and returns false if closed or in
   * backoff.
   */
  private boolean enqueue(PendingCall call) {
    if (closed) {
      call.fail(false, peer + ": closed");
      return false;
    }
    if (!connectInProgress && backoff.mustWait(now())) {
      call.fail(false, peer + ": not connected; waiting for the reconnect backoff");
      return false;
    }
    waiting.add(call);
    return true;
  }

  /** Opens a connection if calls are waiting for one or a lost connection is to be replaced. */
  private void connectIfNeeded(boolean replacing) {
    Optional<InetSocketAddress> found = address.get();
    ChannelFuture connect = null;
    synchronized (lock) {
      boolean needed = !waiting.isEmpty() || (replacing && !closed);
      if (connectInProgress || current != null || !needed) {
        return;
      }
      connectInProgress = true;
      if (found.isPresent()) {
        connect = Connections.client(wire, loops, PeerHandshake::new).connect(found.get());
      }
    }
    if (connect == null) {
      connectFailed("the address of the peer is not known", false);
      return;
    }
    connect.addListener(
        done -> {
          if (!done.isSuccess()) {
            connectFailed(
                String.valueOf(done.cause().getMessage()), isConnectionRefused(done.cause()));
          }
        });
  }

  /**
   * Returns whether the peer's host refused the connection because no process listens there. A
   * connect timeout is a subclass of the same exception but gives no such evidence.
   */
  private static boolean isConnectionRefused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  private void connectFailed(String detail, boolean refused) {
    List<PendingCall> unsent;
    synchronized (lock) {
      connectInProgress = false;
      connecting = null;
      backoff.recordFailure(now());
      unsent = takeWaiting();
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

  private void connected(ClientCallHandler handler) {
    List<PendingCall> unsent;
    boolean closing;
    synchronized (lock) {
      connectInProgress = false;
      connecting = null;
      current = handler;
      backoff.reset();
      unsent = takeWaiting();
      closing = closed;
    }
    unsent.forEach(handler::send);
    if (closing) {
      handler.closeWhenIdle();
    }
  }

  private void connectionLeaving(ClientCallHandler lostHandler) {
    synchronized (lock) {
      current = current == lostHandler ? null : current;
    }
  }

  /** Replaces a connection that was lost while in use. */
  private void connectionLost(ClientCallHandler lostHandler) {
    synchronized (lock) {
      if (current != lostHandler) {
        return;
      }
      current = null;
      if (closed) {
        return;
      }
    }
    wire.metrics().reconnected();
    connectIfNeeded(true);
  }

  private List<PendingCall> takeWaiting() {
    List<PendingCall> calls = new ArrayList<>(waiting);
    waiting.clear();
    return calls;
  }

  private long now() {
    return wire.timers().now(TimeUnit.NANOSECONDS);
  }

  /** The handshake after which its connection becomes the current one. */
  private final class PeerHandshake extends ClientHandshake {
    private ClientCallHandler handler;

    PeerHandshake() {
      super(PeerConnection.this.wire, PeerConnection.this.peer);
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
      handler =
          new ClientCallHandler(wire, peer, context.channel(), () -> connectionLeaving(handler));
      context.pipeline().addLast(handler);
      connected(handler);
    }

    private void ended() {
      if (handler == null) {
        connectFailed("the handshake failed", false);
      } else {
        connectionLost(handler);
      }
    }
  }
}

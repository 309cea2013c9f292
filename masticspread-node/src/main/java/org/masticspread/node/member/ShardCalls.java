package org.masticspread.node.member;

import io.reactivex.rxjava3.core.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerMessage;

/**
 * Calls the owner of a shard and follows it when it moves. Only for messages that may be sent
 * twice. An owner may use the whole time, as while the store is down; the heartbeats of the inner
 * protocol end the call to one that is silent.
 *
 * <p>Example: {@code calls.call(shard, message, JobAnswered.class, a -> a.code() == NOT_OWNER,
 * by)}.
 */
public final class ShardCalls {
  private static final Duration PAUSE = Duration.ofMillis(100);

  private final Members members;
  private final PeerCalls calls;
  private final InstantSource clock;
  private final Scheduler scheduler;

  /**
   * Creates the calls.
   *
   * @param members finds owners
   * @param calls calls VMs
   * @param clock the clock
   * @param scheduler runs the pauses
   */
  public ShardCalls(Members members, PeerCalls calls, InstantSource clock, Scheduler scheduler) {
    this.members = members;
    this.calls = calls;
    this.clock = clock;
    this.scheduler = scheduler;
  }

  /**
   * The answer of an owner.
   *
   * @param answer the answer
   * @param unanswered whether an earlier try may have reached an owner that did not answer
   * @param <T> the kind of the answer
   */
  public record Routed<T extends PeerMessage>(T answer, boolean unanswered) {}

  /**
   * Calls the owner of a shard until it answers or the time is over.
   *
   * @param shard the shard
   * @param message the message
   * @param kind the kind of the answer
   * @param moved tells that the addressed VM does not own the shard and did nothing
   * @param until when to give up
   * @param <T> the kind of the answer
   * @return the answer; fails with a {@link PeerException} that tells whether any try may have
   *     reached an owner
   */
  public <T extends PeerMessage> CompletionStage<Routed<T>> call(
      ShardId shard, PeerMessage message, Class<T> kind, Predicate<T> moved, Instant until) {
    Attempt<T> attempt = new Attempt<>(shard, message, kind, moved, until);
    attempt.next();
    return attempt.result;
  }

  private final class Attempt<T extends PeerMessage> {
    private final ShardId shard;
    private final PeerMessage message;
    private final Class<T> kind;
    private final Predicate<T> moved;
    private final Instant until;
    private final CompletableFuture<Routed<T>> result = new CompletableFuture<>();
    private volatile boolean sent;

    Attempt(ShardId shard, PeerMessage message, Class<T> kind, Predicate<T> moved, Instant until) {
      this.shard = shard;
      this.message = message;
      this.kind = kind;
      this.moved = moved;
      this.until = until;
    }

    void next() {
      Duration left = Duration.between(clock.instant(), until);
      Optional<VmId> owner = members.ownerOf(shard);
      if (left.isNegative() || left.isZero()) {
        giveUp("no owner of " + shard + " answered in time");
        return;
      }
      if (owner.isEmpty()) {
        pause();
        return;
      }
      calls.call(owner.get(), message, kind, left).whenComplete(this::take);
    }

    private void take(T answer, Throwable thrown) {
      if (thrown != null) {
        sent |= PeerCalls.errorOf(thrown).mayHaveBeenSent();
        pause();
        return;
      }
      if (moved.test(answer)) {
        pause();
        return;
      }
      result.complete(new Routed<>(answer, sent));
    }

    private void pause() {
      Duration left = Duration.between(clock.instant(), until);
      if (left.compareTo(PAUSE) <= 0) {
        giveUp("no owner of " + shard + " answered in time");
        return;
      }
      scheduler.scheduleDirect(this::next, PAUSE.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void giveUp(String text) {
      result.completeExceptionally(new PeerException(sent, text, null));
    }
  }
}

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
 * Calls the owner of a shard and retries at the new owner when the shard moves. Only for messages
 * that may be sent twice. An owner may use the whole time until the deadline, for example while the
 * store is down. The heartbeats between peers end a call to an owner that does not respond.
 *
 * <p>Example: {@code calls.call(shard, message, JobAnswered.class, a -> a.code() == NOT_OWNER,
 * deadline)}.
 */
public final class ShardCalls {
  private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);

  private final Members members;
  private final PeerCalls calls;
  private final InstantSource clock;
  private final Scheduler scheduler;

  /**
   * Creates the calls.
   *
   * @param members the members with the shards they own
   * @param calls the calls to VMs
   * @param clock the clock
   * @param scheduler the scheduler of retries
   */
  public ShardCalls(Members members, PeerCalls calls, InstantSource clock, Scheduler scheduler) {
    this.members = members;
    this.calls = calls;
    this.clock = clock;
    this.scheduler = scheduler;
  }

  /**
   * Answer of an owner.
   *
   * @param answer the answer
   * @param unanswered whether an earlier attempt may have reached an owner that did not answer
   * @param <T> the type of the answer
   */
  public record Routed<T extends PeerMessage>(T answer, boolean unanswered) {}

  /**
   * Calls the owner of a shard until it answers or the deadline passes.
   *
   * @param shard the shard
   * @param message the message
   * @param type the type of the answer
   * @param moved whether an answer states that the addressed VM does not own the shard and did
   *     nothing
   * @param deadline the deadline
   * @param <T> the type of the answer
   * @return the answer; the stage fails with a {@link PeerException} that states whether any
   *     attempt may have reached an owner
   */
  public <T extends PeerMessage> CompletionStage<Routed<T>> call(
      ShardId shard, PeerMessage message, Class<T> type, Predicate<T> moved, Instant deadline) {
    Call<T> routedCall = new Call<>(shard, message, type, moved, deadline);
    routedCall.tryOwner();
    return routedCall.result;
  }

  private final class Call<T extends PeerMessage> {
    private final ShardId shard;
    private final PeerMessage message;
    private final Class<T> type;
    private final Predicate<T> moved;
    private final Instant deadline;
    private final CompletableFuture<Routed<T>> result = new CompletableFuture<>();
    private volatile boolean maybeSent;

    Call(ShardId shard, PeerMessage message, Class<T> type, Predicate<T> moved, Instant deadline) {
      this.shard = shard;
      this.message = message;
      this.type = type;
      this.moved = moved;
      this.deadline = deadline;
    }

    void tryOwner() {
      Duration remaining = Duration.between(clock.instant(), deadline);
      Optional<VmId> owner = members.ownerOf(shard);
      if (remaining.isNegative() || remaining.isZero()) {
        fail("no owner of " + shard + " answered in time");
        return;
      }
      if (owner.isEmpty()) {
        scheduleRetry();
        return;
      }
      calls.call(owner.get(), message, type, remaining).whenComplete(this::handleAnswer);
    }

    private void handleAnswer(T answer, Throwable thrown) {
      if (thrown != null) {
        maybeSent |= PeerCalls.errorOf(thrown).mayHaveBeenSent();
        scheduleRetry();
        return;
      }
      if (moved.test(answer)) {
        scheduleRetry();
        return;
      }
      result.complete(new Routed<>(answer, maybeSent));
    }

    private void scheduleRetry() {
      Duration remaining = Duration.between(clock.instant(), deadline);
      if (remaining.compareTo(RETRY_INTERVAL) <= 0) {
        fail("no owner of " + shard + " answered in time");
        return;
      }
      scheduler.scheduleDirect(this::tryOwner, RETRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void fail(String text) {
      result.completeExceptionally(new PeerException(maybeSent, text, null));
    }
  }
}

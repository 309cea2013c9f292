package org.masticspread.cell.policy;

import java.time.Duration;

/**
 * The rate of one team: a token bucket that tells the jobs that the team is entitled to from those
 * beyond its weight.
 *
 * <p>Under competition, one team sends several times its usual rate for some seconds. The jobs
 * beyond its weight are not owed service, and are served only from capacity that nobody else needs.
 *
 * <pre>{@code
 * TeamRate rate = new TeamRate(59, now);
 * boolean owed = rate.take(59, now);
 * Duration retryAfter = rate.scheduleRetry(now);
 * }</pre>
 */
public final class TeamRate {
  /**
   * Time whose tokens a bucket holds. Callers are random, so some send a second's jobs at once; a
   * new leader starts with full buckets and is in favour of callers for this time.
   */
  private static final Duration BURST = Duration.ofSeconds(1);

  /** Minimum size of a bucket; a smaller one would never hold the token of one job. */
  private static final double MIN_TOKENS = 1;

  /** Minimum retry interval; a team without tokens may be refused many times a second. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

  /** Maximum retry interval; a caller told to wait longer would return too late for its job. */
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(20);

  private double weight;
  private double tokens;

  /** Tokens that did not fit into the bucket: what the team has not used of its weight lately. */
  private double spareTokens;

  private long updatedMillis;

  /** The time told to the caller that was refused last; the next one is told a later time. */
  private double lastRetryMillis;

  /**
   * Creates a full bucket.
   *
   * @param weight the tokens added in a second; 0 for none ever
   * @param nowMillis the current time
   */
  public TeamRate(double weight, long nowMillis) {
    this.weight = weight;
    this.tokens = size();
    this.updatedMillis = nowMillis;
  }

  /**
   * Takes a token for a new job.
   *
   * @param newWeight the weight in force, which a configuration may have changed
   * @param nowMillis the current time
   * @return whether there was a token, so that the job is owed
   */
  public boolean take(double newWeight, long nowMillis) {
    refill(newWeight, nowMillis);
    boolean taken = weight > 0 && tokens >= 1;
    tokens -= taken ? 1 : 0;
    return taken;
  }

  /**
   * Takes a token for a refused job beyond the weight that returns, if the team has used less than
   * its weight lately. The tokens of the bucket are left to new jobs.
   *
   * @param newWeight the weight in force
   * @param nowMillis the current time
   * @return whether the job is owed now
   */
  public boolean takeForReturning(double newWeight, long nowMillis) {
    refill(newWeight, nowMillis);
    boolean taken = spareTokens >= 1;
    spareTokens -= taken ? 1 : 0;
    return taken;
  }

  /**
   * Returns when a refused caller should return, and reserves that time, so that the callers of a
   * team return one after the other at its rate.
   *
   * @param nowMillis the current time
   * @return the retry interval
   */
  public Duration scheduleRetry(long nowMillis) {
    if (weight <= 0) {
      return MAX_RETRY_AFTER;
    }
    double nextToken = nowMillis + Math.max(0, 1 - tokens) * 1000 / weight;
    double latest = nowMillis + MAX_RETRY_AFTER.toMillis();
    double earliest = nowMillis + MIN_RETRY_AFTER.toMillis();
    double next = Math.max(nextToken, lastRetryMillis + 1000 / weight);
    lastRetryMillis = Math.min(latest, Math.max(earliest, next));
    return Duration.ofMillis((long) lastRetryMillis - nowMillis);
  }

  private void refill(double newWeight, long nowMillis) {
    weight = newWeight;
    double added = weight * Math.max(0, nowMillis - updatedMillis) / 1000;
    double overflow = Math.max(0, tokens + added - size());
    spareTokens = Math.min(size(), spareTokens + overflow);
    tokens = Math.min(size(), tokens + added);
    updatedMillis = nowMillis;
  }

  private double size() {
    return Math.max(MIN_TOKENS, weight * BURST.toMillis() / 1000);
  }
}

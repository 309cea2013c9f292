package org.masticspread.policy.request.internal;

import org.masticspread.policy.request.internal.FairQueue.Choice;

/** One attempt of a request, in flight at an endpoint. */
final class Attempt {
  final long number;
  final Entry entry;
  final Backend backend;
  final Choice choice;

  /** The expected slot time at this endpoint. */
  final double estimateNanos;

  /** The expected slot time at the mean speed of the pool, as charged to the class. */
  final double chargedNanos;

  final long hedgeAt;
  final boolean hedge;
  boolean ended;

  Attempt(
      long number,
      Entry entry,
      Backend backend,
      Choice choice,
      double estimateNanos,
      double chargedNanos,
      long hedgeAt,
      boolean hedge) {
    this.number = number;
    this.entry = entry;
    this.backend = backend;
    this.choice = choice;
    this.estimateNanos = estimateNanos;
    this.chargedNanos = chargedNanos;
    this.hedgeAt = hedgeAt;
    this.hedge = hedge;
  }
}

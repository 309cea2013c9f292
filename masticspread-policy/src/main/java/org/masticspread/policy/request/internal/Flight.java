package org.masticspread.policy.request.internal;

import org.masticspread.policy.request.internal.FairQueue.Choice;

/** One dispatch in flight. */
final class Flight {
  final long number;
  final Entry entry;
  final Backend backend;
  final Choice choice;
  final double estimateNanos;
  final long hedgeAt;
  final boolean hedge;
  boolean ended;

  Flight(
      long number,
      Entry entry,
      Backend backend,
      Choice choice,
      double estimateNanos,
      long hedgeAt,
      boolean hedge) {
    this.number = number;
    this.entry = entry;
    this.backend = backend;
    this.choice = choice;
    this.estimateNanos = estimateNanos;
    this.hedgeAt = hedgeAt;
    this.hedge = hedge;
  }
}

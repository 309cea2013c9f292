package org.masticspread.ctl.measure.request;

import java.util.List;

/** A policy for queueing and starting requests, driven by a simulation on a virtual clock. */
interface RequestPolicy {

  /**
   * The start of a request at an executor.
   *
   * @param arrival the request
   * @param executor the index of the executor
   * @param handle the handle by which the policy identifies the start; null if it needs none
   */
  record Start(Arrival arrival, int executor, Object handle) {}

  /** Admits a request and returns true, or refuses it. */
  boolean offer(Arrival arrival, long now);

  /** Returns the next request to start, or null if none may start now. */
  Start next(long now);

  /** Records that a request has finished. */
  void finished(Start start, long took, long now);

  /** Removes and returns the waiting requests that the policy has abandoned. */
  List<Arrival> abandoned(long now);
}

package org.masticspread.ctl.measure.request;

import java.util.List;

/** A way to decide about requests, driven by a run on a virtual clock. */
interface RequestPolicy {

  /**
   * The start of a request at an executor.
   *
   * @param arrival the request
   * @param executor the position of the executor
   * @param handle what the policy knows it by
   */
  record Start(Arrival arrival, int executor, Object handle) {}

  /** Takes a request in, or refuses it. */
  boolean offer(Arrival arrival, long now);

  /** Returns the next request to start, or null when nothing may start now. */
  Start next(long now);

  /** Takes in the end of a request. */
  void finished(Start start, long took, long now);

  /** Returns waiting requests that were given up. */
  List<Arrival> givenUp(long now);
}

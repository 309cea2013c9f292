package org.masticspread.policy.request.internal;

import org.masticspread.model.id.EndpointId;
import org.masticspread.model.work.RequestSpec;

/** An admitted request and its links within the queue of its work class. */
final class Entry {
  final RequestSpec request;
  final ClassQueue queue;
  final long answerBy;
  long queuedAt;
  int attempts;
  int inFlight;
  boolean mayHaveRun;
  boolean queued;
  boolean concluded;
  EndpointId lastEndpoint;
  Entry previous;
  Entry next;

  Entry(RequestSpec request, ClassQueue queue) {
    this.request = request;
    this.queue = queue;
    this.answerBy = Times.nanos(request.answerBy());
  }

  int sizeBytes() {
    return request.body().sizeBytes();
  }
}

package org.masticspread.policy.request.internal;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.RequestKey;
import org.masticspread.policy.request.RequestDecision;

/** Keeps the latest decisions about the most recent requests. */
public final class DecisionLog {
  private static final int MAX_DECISIONS_PER_REQUEST = 16;

  private final Map<RequestKey, Deque<RequestDecision>> decisions;

  /**
   * Creates a log.
   *
   * @param maxRequests the maximum number of requests to keep
   */
  public DecisionLog(int maxRequests) {
    this.decisions =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<RequestKey, Deque<RequestDecision>> e) {
            return size() > maxRequests;
          }
        };
  }

  void add(RequestKey key, Instant at, String decision, String reason) {
    Deque<RequestDecision> recent = decisions.computeIfAbsent(key, k -> new ArrayDeque<>(4));
    if (recent.size() == MAX_DECISIONS_PER_REQUEST) {
      recent.removeFirst();
    }
    recent.addLast(new RequestDecision(at, decision, reason));
  }

  /**
   * Returns the decisions about a request.
   *
   * @param key the request
   * @return the decisions, oldest first; empty if none are kept
   */
  public List<RequestDecision> decisionsOf(RequestKey key) {
    Deque<RequestDecision> recent = decisions.get(key);
    return recent == null ? List.of() : List.copyOf(recent);
  }
}

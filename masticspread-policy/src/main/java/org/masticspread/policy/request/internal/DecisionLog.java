package org.masticspread.policy.request.internal;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.RequestKey;
import org.masticspread.policy.request.RequestDecision;

/** Keeps the last decisions of the last requests. */
public final class DecisionLog {
  private static final int DECISIONS_PER_REQUEST = 16;

  private final Map<RequestKey, Deque<RequestDecision>> decisions;

  /**
   * Creates a log.
   *
   * @param requests the most requests that are kept
   */
  public DecisionLog(int requests) {
    this.decisions =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<RequestKey, Deque<RequestDecision>> e) {
            return size() > requests;
          }
        };
  }

  void add(RequestKey key, Instant at, String decision, String reason) {
    Deque<RequestDecision> kept = decisions.computeIfAbsent(key, k -> new ArrayDeque<>(4));
    if (kept.size() == DECISIONS_PER_REQUEST) {
      kept.removeFirst();
    }
    kept.addLast(new RequestDecision(at, decision, reason));
  }

  /**
   * Returns the decisions about a request.
   *
   * @param key the request
   * @return the decisions, oldest first; empty when none are kept
   */
  public List<RequestDecision> of(RequestKey key) {
    Deque<RequestDecision> kept = decisions.get(key);
    return kept == null ? List.of() : List.copyOf(kept);
  }
}

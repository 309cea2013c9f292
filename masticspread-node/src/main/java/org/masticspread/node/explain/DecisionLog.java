package org.masticspread.node.explain;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.Decision;

/**
 * Log of the latest decisions of this VM about jobs and requests, with a limited number of subjects
 * and of decisions per subject. Thread-safe.
 *
 * <p>Example: {@code log.add(DecisionLog.subject(job), "waits", "no rack has free capacity")}.
 */
public final class DecisionLog {
  private static final int MAX_SUBJECTS = 4_096;
  private static final int MAX_DECISIONS_PER_SUBJECT = 24;

  private final VmId vm;
  private final InstantSource clock;
  private final Map<String, Deque<Decision>> subjects =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Deque<Decision>> eldest) {
          return size() > MAX_SUBJECTS;
        }
      };

  /**
   * Creates an empty log.
   *
   * @param vm this VM
   * @param clock the clock
   */
  public DecisionLog(VmId vm, InstantSource clock) {
    this.vm = vm;
    this.clock = clock;
  }

  /**
   * Returns the subject of a job.
   *
   * @param job the job
   * @return the subject
   */
  public static String subject(JobKey job) {
    return "job:" + job;
  }

  /**
   * Returns the subject of a request.
   *
   * @param request the request
   * @return the subject
   */
  public static String subject(RequestKey request) {
    return "request:" + request;
  }

  /**
   * Adds a decision, unless it equals the latest decision about the subject and has the same
   * reason.
   *
   * @param subject the subject
   * @param decision the decision
   * @param reason the reason
   */
  public synchronized void add(String subject, String decision, String reason) {
    Deque<Decision> decisions = subjects.computeIfAbsent(subject, s -> new ArrayDeque<>());
    Decision last = decisions.peekLast();
    if (last != null && last.decision().equals(decision) && last.reason().equals(reason)) {
      return;
    }
    if (decisions.size() == MAX_DECISIONS_PER_SUBJECT) {
      decisions.removeFirst();
    }
    decisions.addLast(new Decision(clock.instant(), vm, decision, reason));
  }

  /**
   * Returns the logged decisions about a subject.
   *
   * @param subject the subject
   * @return the decisions, oldest first
   */
  public synchronized List<Decision> of(String subject) {
    Deque<Decision> decisions = subjects.get(subject);
    return decisions == null ? List.of() : List.copyOf(decisions);
  }
}

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
 * The latest decisions of this VM about jobs and requests, bounded in subjects and lines.
 * Thread-safe.
 *
 * <p>Example: {@code log.add(DecisionLog.subject(job), "waits", "no rack has room")}.
 */
public final class DecisionLog {
  private static final int MAX_SUBJECTS = 4_096;
  private static final int MAX_DECISIONS = 24;

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
   * Adds a decision. A repeat of the latest decision with the same reason is not added.
   *
   * @param subject the subject
   * @param decision what was decided
   * @param reason why
   */
  public synchronized void add(String subject, String decision, String reason) {
    Deque<Decision> decisions = subjects.computeIfAbsent(subject, s -> new ArrayDeque<>());
    Decision last = decisions.peekLast();
    if (last != null && last.decision().equals(decision) && last.reason().equals(reason)) {
      return;
    }
    if (decisions.size() == MAX_DECISIONS) {
      decisions.removeFirst();
    }
    decisions.addLast(new Decision(clock.instant(), vm, decision, reason));
  }

  /**
   * Returns the remembered decisions about a subject.
   *
   * @param subject the subject
   * @return the decisions, oldest first
   */
  public synchronized List<Decision> of(String subject) {
    Deque<Decision> decisions = subjects.get(subject);
    return decisions == null ? List.of() : List.copyOf(decisions);
  }
}

package org.masticspread.policy.request;

import java.time.Duration;
import java.util.List;
import org.masticspread.model.result.ResultCode;

/** The result of offering a request to a {@link RequestScheduler}. */
public sealed interface Admission {

  /**
   * The request was queued and waits for a slot.
   *
   * @param evicted the results of queued requests that were evicted to make room
   */
  record Admitted(List<Conclusion> evicted) implements Admission {
    /** Copies the list. */
    public Admitted {
      evicted = List.copyOf(evicted);
    }
  }

  /**
   * The request was rejected.
   *
   * @param code the result code
   * @param retryAfter how long to wait before retrying; zero if a retry cannot succeed
   * @param reason the reason, as a short sentence
   */
  record Refused(ResultCode code, Duration retryAfter, String reason) implements Admission {}
}

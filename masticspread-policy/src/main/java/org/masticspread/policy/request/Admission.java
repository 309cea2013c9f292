package org.masticspread.policy.request;

import java.time.Duration;
import java.util.List;
import org.masticspread.model.result.ResultCode;

/** What became of the offer of a request. */
public sealed interface Admission {

  /**
   * The request waits for a slot.
   *
   * @param evicted requests that were removed from the queue to make room
   */
  record Admitted(List<Conclusion> evicted) implements Admission {
    /** Copies the list. */
    public Admitted {
      evicted = List.copyOf(evicted);
    }
  }

  /**
   * The request was not taken in.
   *
   * @param code why, as a result code
   * @param retryAfter how long to wait before a repeat; zero when a repeat is of no use
   * @param reason a short sentence
   */
  record Refused(ResultCode code, Duration retryAfter, String reason) implements Admission {}
}

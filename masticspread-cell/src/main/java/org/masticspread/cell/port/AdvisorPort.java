package org.masticspread.cell.port;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.List;
import org.masticspread.model.peer.AdviceReply;

/** Calls to the advisor, which serves one call at a time of each VM. Never fails. */
@FunctionalInterface
public interface AdvisorPort {
  /**
   * Asks which workers may run a step.
   *
   * @param step the step, as the advisor names it
   * @param workers the workers to ask about, at most 100
   * @param timeout how long to wait
   * @return the approved workers
   */
  Single<AdviceReply> ask(String step, List<String> workers, Duration timeout);
}

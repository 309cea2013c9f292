package org.masticspread.cell.port;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.List;
import org.masticspread.model.peer.AdviceReply;

/** The port to the advisor, which serves one call at a time for each VM. Calls never fail. */
@FunctionalInterface
public interface AdvisorPort {
  /**
   * Asks which workers may run a step.
   *
   * @param step the step, as the advisor names it
   * @param workers the workers to ask about, at most 100
   * @param timeout the maximum time to wait for the reply
   * @return the reply with the approved workers
   */
  Single<AdviceReply> ask(String step, List<String> workers, Duration timeout);
}

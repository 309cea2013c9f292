package org.masticspread.node.api;

import java.util.concurrent.CompletionStage;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.RequestSpec;

/** Runs requests. */
@FunctionalInterface
public interface RequestService {
  /**
   * Runs a request and waits for its outcome. The stage never fails.
   *
   * @param request the request
   * @return the outcome
   */
  CompletionStage<Answer> run(RequestSpec request);
}

package org.masticspread.cell.policy;

import org.masticspread.model.resource.ResourceVector;

/**
 * A worker for tests.
 *
 * @param id its id
 * @param rack its rack
 * @param millicores its capacity
 * @param freeMillicores the free part of its capacity
 * @param speed its speed
 * @param awaitedByGang whether a gang waits for its capacity
 */
record TestWorker(
    String id,
    String rack,
    long millicores,
    long freeMillicores,
    double speed,
    boolean awaitedByGang)
    implements CandidateWorker {
  @Override
  public ResourceVector free() {
    return new ResourceVector(freeMillicores, 1 << 20, 0);
  }

  @Override
  public ResourceVector capacity() {
    return new ResourceVector(millicores, 1 << 20, 0);
  }

  @Override
  public int taskCount(String step) {
    return 0;
  }
}

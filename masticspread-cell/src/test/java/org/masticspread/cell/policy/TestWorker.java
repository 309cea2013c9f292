package org.masticspread.cell.policy;

import org.masticspread.model.resource.ResourceVector;

/**
 * A worker of tests.
 *
 * @param id its name
 * @param rack its rack
 * @param millicores its capacity
 * @param freeMillicores what of it is free
 * @param speed its speed
 * @param awaitedByGang whether a gang waits for its room
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

package org.masticspread.ctl.questionnaire;

import java.time.Duration;

/**
 * The latencies of the network.
 *
 * @param betweenDataCentres the one-way latency between two data centres
 * @param toClients the one-way latency between a VM and a caller
 */
public record Network(Duration betweenDataCentres, Duration toClients) {
  private static final int WAYS = 2;
  private static final int HOPS_BETWEEN_DATA_CENTRES = 2;

  /**
   * Returns the longest round-trip time of a request: from the caller to a VM, on to the home VM of
   * the endpoint and to the endpoint, each in another data centre, and back.
   *
   * @param dataCentres the number of data centres of the pool
   * @return the round-trip time, excluding queueing and run time
   */
  public Duration roundTrip(int dataCentres) {
    int hops = dataCentres > 1 ? HOPS_BETWEEN_DATA_CENTRES : 0;
    return betweenDataCentres.multipliedBy(hops).plus(toClients).multipliedBy(WAYS);
  }
}

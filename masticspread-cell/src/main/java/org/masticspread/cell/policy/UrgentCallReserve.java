package org.masticspread.cell.policy;

import java.time.Duration;

/**
 * The number of VMs to keep free of long calls to the advisor, which serves one call at a time for
 * each VM.
 *
 * <p>During bursts of gangs, their calls, which take nearly a second each, would occupy every VM,
 * while an urgent job has only some 250 ms in total. The number of reserved VMs follows the recent
 * demand of urgent calls.
 *
 * <pre>{@code
 * urgentReserve.recordUrgentCall(Duration.ofMillis(22), now);
 * boolean send = busyWithLong < vms - urgentReserve.reservedVms(vms, now);
 * }</pre>
 */
public final class UrgentCallReserve {
  /** Time constant of the exponentially decaying demand. */
  private static final Duration WINDOW = Duration.ofMillis(1000);

  /**
   * Number of standard deviations above the mean demand to reserve, so that few urgent calls wait.
   */
  private static final double STANDARD_DEVIATIONS = 2;

  /**
   * Minimum demand, in VMs; below it, no VM is reserved and a rare urgent call waits for one long
   * call.
   */
  private static final double MIN_DEMAND = 0.01;

  /** Sum of the durations of urgent calls, with exponential decay. */
  private double urgentMillis;

  private long updatedAtMillis;

  /**
   * Records an urgent call.
   *
   * @param time the time for which the call occupies a VM
   * @param nowMillis the current time
   */
  public void recordUrgentCall(Duration time, long nowMillis) {
    decay(nowMillis);
    urgentMillis += time.toMillis();
  }

  private void decay(long nowMillis) {
    urgentMillis *= Math.exp(-(nowMillis - updatedAtMillis) / (double) WINDOW.toMillis());
    updatedAtMillis = nowMillis;
  }

  /**
   * Returns the number of VMs that long calls must not occupy.
   *
   * @param vms the number of VMs that can call the advisor
   * @param nowMillis the current time
   * @return the number; at least one VM is left for long calls
   */
  public int reservedVms(int vms, long nowMillis) {
    decay(nowMillis);
    double demand = urgentMillis / WINDOW.toMillis();
    if (demand < MIN_DEMAND) {
      return 0;
    }
    int wanted = (int) Math.ceil(demand + STANDARD_DEVIATIONS * Math.sqrt(demand));
    return Math.max(0, Math.min(wanted, vms - 1));
  }
}

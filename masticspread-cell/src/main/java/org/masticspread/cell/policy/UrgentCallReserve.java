package org.masticspread.cell.policy;

import java.time.Duration;

/**
 * How many VMs are kept free of long calls to the advisor, which serves one call at a time of each
 * VM.
 *
 * <p>Answers bursts of gangs: their calls take nearly a second each and would occupy every VM,
 * while an urgent job has some 250 ms in all. The part that is kept follows from the urgent calls
 * that came lately.
 *
 * <pre>{@code
 * urgentReserve.recordUrgentCall(Duration.ofMillis(22), now);
 * boolean send = busyWithLong < vms - urgentReserve.reservedVms(vms, now);
 * }</pre>
 */
public final class UrgentCallReserve {
  /** How fast the measured demand follows the true one. */
  private static final Duration WINDOW = Duration.ofMillis(1000);

  /** With this many deviations above the mean, few urgent calls find no lane free. */
  private static final double DEVIATIONS = 2;

  /** Below this demand, in VMs, an urgent call is an exception that waits for one long call. */
  private static final double LEAST_DEMAND = 0.01;

  /** The time of urgent calls in the window, fading. */
  private double askedMillis;

  private long atMillis;

  /**
   * Notes an urgent call.
   *
   * @param time how long it occupies a VM
   * @param nowMillis the moment
   */
  public void recordUrgentCall(Duration time, long nowMillis) {
    fade(nowMillis);
    askedMillis += time.toMillis();
  }

  private void fade(long nowMillis) {
    askedMillis *= Math.exp(-(nowMillis - atMillis) / (double) WINDOW.toMillis());
    atMillis = nowMillis;
  }

  /**
   * Returns how many VMs no long call may occupy.
   *
   * @param vms how many VMs can call
   * @param nowMillis the moment
   * @return the count; at least one VM is left for long calls
   */
  public int reservedVms(int vms, long nowMillis) {
    fade(nowMillis);
    double demand = askedMillis / WINDOW.toMillis();
    if (demand < LEAST_DEMAND) {
      return 0;
    }
    int wanted = (int) Math.ceil(demand + DEVIATIONS * Math.sqrt(demand));
    return Math.max(0, Math.min(wanted, vms - 1));
  }
}

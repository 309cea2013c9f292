package org.masticspread.ctl.measure.request;

/**
 * What one work class got in one run.
 *
 * @param policy the policy that decided
 * @param deployment the shape of the fleet and its teams
 * @param scenario the load
 * @param team the team, or "all"
 * @param workClass the work class, or "all"
 * @param flooded whether the flood is made of this class
 * @param offered requests offered
 * @param goodput requests answered in time, per second
 * @param kept goodput over the goodput of the same policy without a flood
 * @param waitP50Ms the median time from the offer to the start, in milliseconds
 * @param waitP99Ms the 99th percentile of the same
 * @param responseP99Ms the 99th percentile of the time from the offer to the answer
 * @param deadlinesMet the part of the offered requests that was answered in time
 */
public record RequestRow(
    String policy,
    String deployment,
    String scenario,
    String team,
    String workClass,
    boolean flooded,
    long offered,
    double goodput,
    double kept,
    double waitP50Ms,
    double waitP99Ms,
    double responseP99Ms,
    double deadlinesMet) {}

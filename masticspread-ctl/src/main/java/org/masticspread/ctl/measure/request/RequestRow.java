package org.masticspread.ctl.measure.request;

/**
 * The results of one work class in one run.
 *
 * @param policy the policy of the run
 * @param deployment the name of the deployment
 * @param scenario the name of the load scenario
 * @param team the team, or "all"
 * @param workClass the work class, or "all"
 * @param flooded whether the flood consists of requests of this class
 * @param offered the number of requests offered
 * @param goodput the requests answered in time, per second
 * @param kept the goodput as a fraction of the goodput of the same policy without a flood
 * @param waitP50Ms the median time from the offer to the start, in milliseconds
 * @param waitP99Ms the 99th percentile of the time from the offer to the start, in milliseconds
 * @param responseP99Ms the 99th percentile of the time from the offer to the answer, in
 *     milliseconds
 * @param deadlinesMet the fraction of the offered requests that were answered in time
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

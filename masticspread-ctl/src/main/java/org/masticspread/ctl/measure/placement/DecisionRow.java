package org.masticspread.ctl.measure.placement;

/**
 * How long one kind of decision takes.
 *
 * @param decision the decision
 * @param p50Micros the median time, in microseconds
 * @param p99Micros the 99th percentile of the time, in microseconds
 * @param perSecond how many a single thread decides in a second
 */
public record DecisionRow(String decision, double p50Micros, double p99Micros, double perSecond) {}

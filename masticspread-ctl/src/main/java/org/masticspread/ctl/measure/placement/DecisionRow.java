package org.masticspread.ctl.measure.placement;

/**
 * The time that one kind of decision takes.
 *
 * @param decision the kind of decision
 * @param p50Micros the median time, in microseconds
 * @param p99Micros the 99th percentile of the time, in microseconds
 * @param perSecond the number of decisions per second on a single thread
 */
public record DecisionRow(String decision, double p50Micros, double p99Micros, double perSecond) {}

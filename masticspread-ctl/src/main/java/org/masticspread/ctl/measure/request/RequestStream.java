package org.masticspread.ctl.measure.request;

import org.masticspread.model.config.WorkClassConfig;

/**
 * The arrivals of one work class.
 *
 * @param workClass the work class
 * @param teamIndex the position of its team
 * @param perSecond the mean rate of arrivals without a flood
 * @param meanWorkNanos the mean service time at the fastest executor
 */
record RequestStream(
    WorkClassConfig workClass, int teamIndex, double perSecond, double meanWorkNanos) {}

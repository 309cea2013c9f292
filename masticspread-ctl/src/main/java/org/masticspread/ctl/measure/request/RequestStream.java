package org.masticspread.ctl.measure.request;

import org.masticspread.model.config.WorkClassConfig;

/**
 * The stream of arrivals of one work class.
 *
 * @param workClass the work class
 * @param teamIndex the index of its team
 * @param perSecond the mean arrival rate per second without a flood
 * @param meanServiceNanos the mean service time on the fastest executor
 */
record RequestStream(
    WorkClassConfig workClass, int teamIndex, double perSecond, double meanServiceNanos) {}

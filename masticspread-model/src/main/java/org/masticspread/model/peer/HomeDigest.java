package org.masticspread.model.peer;

/**
 * A digest of the load of the endpoints whose home is one VM.
 *
 * @param slots the slots of all its endpoints that accept work
 * @param busy the number of occupied slots
 * @param queued the number of queued requests
 * @param perSecond the measured rate of answers, per second
 */
public record HomeDigest(int slots, int busy, int queued, double perSecond) {}

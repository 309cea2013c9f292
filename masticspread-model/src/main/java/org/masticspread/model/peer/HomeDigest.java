package org.masticspread.model.peer;

/**
 * The load of the endpoints whose home is one VM.
 *
 * @param slots slots of all its endpoints that take work
 * @param busy slots taken
 * @param queued requests that wait
 * @param perSecond the measured rate of answers
 */
public record HomeDigest(int slots, int busy, int queued, double perSecond) {}

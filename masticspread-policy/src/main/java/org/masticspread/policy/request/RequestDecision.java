package org.masticspread.policy.request;

import java.time.Instant;

/**
 * One decision about a request, for people.
 *
 * @param at when it was made
 * @param decision what was decided, in one word or two
 * @param reason why, in a short sentence
 */
public record RequestDecision(Instant at, String decision, String reason) {}

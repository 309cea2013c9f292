package org.masticspread.policy.request;

import java.time.Instant;

/**
 * One scheduling decision about a request, recorded for operators.
 *
 * @param at when the decision was made
 * @param decision the decision, in one or two words
 * @param reason the reason, as a short sentence
 */
public record RequestDecision(Instant at, String decision, String reason) {}

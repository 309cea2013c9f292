package org.masticspread.model.config;

import java.time.Instant;

/**
 * One change of the configuration, for the audit trail.
 *
 * @param revision the revision that the change made
 * @param at when it was made
 * @param who the operator who made it
 * @param what the change in a short sentence
 * @param before the changed part before, as JSON; empty when it was not there
 * @param after the changed part after, as JSON; empty when it is gone
 */
public record AuditEntry(
    long revision, Instant at, String who, String what, String before, String after) {}

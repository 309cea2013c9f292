package org.masticspread.model.config;

import java.time.Instant;

/**
 * An entry of the audit trail: one change of the configuration.
 *
 * @param revision the revision that the change created
 * @param at when the change was made
 * @param who the operator who made the change
 * @param what the change, as a short sentence
 * @param before the changed part before the change, as JSON; empty if it did not exist
 * @param after the changed part after the change, as JSON; empty if it was removed
 */
public record AuditEntry(
    long revision, Instant at, String who, String what, String before, String after) {}

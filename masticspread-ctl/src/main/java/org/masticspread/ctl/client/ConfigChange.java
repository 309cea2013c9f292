package org.masticspread.ctl.client;

import org.masticspread.model.config.Configuration;

/**
 * A change of the configuration, applied atomically.
 *
 * @param expectedRevision the revision that the change is based on
 * @param what a one-sentence description of the change, for the audit trail
 * @param configuration the complete configuration after the change
 */
public record ConfigChange(long expectedRevision, String what, Configuration configuration) {}

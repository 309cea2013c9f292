package org.masticspread.ctl.client;

import org.masticspread.model.config.Configuration;

/**
 * A change of the configuration, made whole or not at all.
 *
 * @param expectedRevision the revision that the change was made from
 * @param what the change in a short sentence, for the audit trail
 * @param configuration the whole configuration after the change
 */
public record ConfigChange(long expectedRevision, String what, Configuration configuration) {}

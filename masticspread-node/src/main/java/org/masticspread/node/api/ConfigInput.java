package org.masticspread.node.api;

import org.masticspread.model.config.Configuration;

/**
 * The body of a call that changes the configuration.
 *
 * @param expectedRevision the revision that the change was made from
 * @param what the change in a short sentence
 * @param configuration the new configuration
 */
record ConfigInput(Long expectedRevision, String what, Configuration configuration) {}

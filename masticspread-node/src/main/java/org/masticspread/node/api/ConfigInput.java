package org.masticspread.node.api;

import org.masticspread.model.config.Configuration;

/**
 * Body of a call that changes the configuration.
 *
 * @param expectedRevision the revision on which the change is based
 * @param what a short description of the change
 * @param configuration the new configuration
 */
record ConfigInput(Long expectedRevision, String what, Configuration configuration) {}

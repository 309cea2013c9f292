package org.masticspread.model.platform;

import org.masticspread.model.work.Payload;

/**
 * A row of the table service.
 *
 * @param key the key
 * @param version the version, which starts at 1 and increases with each write
 * @param value the content
 */
public record Row(String key, long version, Payload value) {}

package org.masticspread.model.platform;

import org.masticspread.model.work.Payload;

/**
 * A row of the table service.
 *
 * @param key the key
 * @param version the version, rising with each write of the row, from 1
 * @param value the content
 */
public record Row(String key, long version, Payload value) {}

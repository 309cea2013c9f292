package org.masticspread.model.peer;

import org.masticspread.model.result.ResultCode;

/**
 * Answers a message that has no specific answer type.
 *
 * @param code OK, or the reason why the message was refused
 */
public record Acknowledged(ResultCode code) implements PeerMessage {}

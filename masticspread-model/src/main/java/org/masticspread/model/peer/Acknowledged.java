package org.masticspread.model.peer;

import org.masticspread.model.result.ResultCode;

/**
 * Answers a message that has no other answer.
 *
 * @param code OK, or why the message was refused
 */
public record Acknowledged(ResultCode code) implements PeerMessage {}

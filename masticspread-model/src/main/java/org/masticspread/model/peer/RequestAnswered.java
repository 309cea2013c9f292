package org.masticspread.model.peer;

import org.masticspread.model.work.Answer;

/**
 * Answers {@link RunAtHome} and {@link RunAtShard}.
 *
 * @param answer the answer to the request
 */
public record RequestAnswered(Answer answer) implements PeerMessage {}

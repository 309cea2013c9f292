package org.masticspread.model.peer;

import org.masticspread.model.work.Answer;

/**
 * The outcome of a request.
 *
 * @param answer the outcome
 */
public record RequestAnswered(Answer answer) implements PeerMessage {}

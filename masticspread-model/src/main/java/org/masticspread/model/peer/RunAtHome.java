package org.masticspread.model.peer;

import org.masticspread.model.work.RequestSpec;

/**
 * Runs a request at an endpoint of the addressed VM. Answered by {@link RequestAnswered}.
 *
 * @param request the request
 */
public record RunAtHome(RequestSpec request) implements PeerMessage {}

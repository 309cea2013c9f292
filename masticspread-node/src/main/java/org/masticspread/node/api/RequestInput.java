package org.masticspread.node.api;

import java.time.Duration;

/**
 * Body of a call that runs a request.
 *
 * @param team the team
 * @param request the id; null to generate one
 * @param workClass the work class
 * @param answerWithin the timeout of the answer; null for that of the work class
 * @param body the body for the endpoint; null for none
 */
record RequestInput(
    String team, String request, String workClass, Duration answerWithin, String body) {}

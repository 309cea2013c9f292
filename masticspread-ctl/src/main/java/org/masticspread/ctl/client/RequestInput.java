package org.masticspread.ctl.client;

import java.time.Duration;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;

/**
 * A request to run.
 *
 * @param team the team
 * @param request the request id, the same on each retry
 * @param workClass the work class within the team
 * @param answerWithin the time limit for the answer; null for the default of its work class
 * @param body the text passed to the endpoint; null for none
 */
public record RequestInput(
    TeamId team, RequestId request, WorkClassId workClass, Duration answerWithin, String body) {}

package org.masticspread.ctl.client;

import java.time.Duration;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;

/**
 * A request to be answered.
 *
 * @param team the team
 * @param request the id, the same in each repeat
 * @param workClass the work class within the team
 * @param answerWithin the time within which it must be answered; null for that of its work class
 * @param body the text for the endpoint; null for none
 */
public record RequestInput(
    TeamId team, RequestId request, WorkClassId workClass, Duration answerWithin, String body) {}

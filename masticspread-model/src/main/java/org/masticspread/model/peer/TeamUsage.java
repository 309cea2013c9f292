package org.masticspread.model.peer;

import org.masticspread.model.id.TeamId;
import org.masticspread.model.resource.ResourceVector;

/**
 * What the tasks of a team hold.
 *
 * @param team the team
 * @param held the sum of the sizes of its tasks
 */
public record TeamUsage(TeamId team, ResourceVector held) {}

package org.masticspread.model.peer;

import org.masticspread.model.id.TeamId;
import org.masticspread.model.resource.ResourceVector;

/**
 * The resources allocated to the tasks of a team.
 *
 * @param team the team
 * @param held the total size of its tasks
 */
public record TeamUsage(TeamId team, ResourceVector held) {}

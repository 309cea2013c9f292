package org.masticspread.model.peer;

import org.masticspread.model.id.TeamId;

/**
 * Lists the jobs of a team at the addressed VM. Answered by {@link JobsListed}.
 *
 * @param team the team; null for all
 * @param limit the maximum number of jobs to return
 */
public record ListJobs(TeamId team, int limit) implements PeerMessage {}

package org.masticspread.model.peer;

import org.masticspread.model.id.TeamId;

/**
 * Lists jobs of a team at the addressed VM. Answered by {@link JobsListed}.
 *
 * @param team the team; null for all
 * @param limit the most jobs to return
 */
public record ListJobs(TeamId team, int limit) implements PeerMessage {}

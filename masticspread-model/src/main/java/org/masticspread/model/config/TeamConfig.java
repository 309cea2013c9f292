package org.masticspread.model.config;

import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.resource.ResourceVector;

/**
 * A team.
 *
 * @param name the team
 * @param pool the pool that serves it
 * @param weight its part of spare capacity against other teams, at least 1
 * @param floor the part of the pool it always gets while it has work, from 0 to 1
 * @param quota the most its jobs may hold on workers at once; null when unlimited
 * @param retired whether new work is refused
 */
public record TeamConfig(
    TeamId name, PoolId pool, int weight, double floor, ResourceVector quota, boolean retired) {}

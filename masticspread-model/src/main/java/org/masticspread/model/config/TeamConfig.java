package org.masticspread.model.config;

import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.resource.ResourceVector;

/**
 * The configuration of a team.
 *
 * @param name the team
 * @param pool the pool that serves it
 * @param weight its share of spare capacity relative to other teams, at least 1
 * @param floor the fraction of the pool guaranteed to it while it has work, from 0 to 1
 * @param quota the maximum resources of its jobs on workers at once; null if unlimited
 * @param retired whether new work is refused
 */
public record TeamConfig(
    TeamId name, PoolId pool, int weight, double floor, ResourceVector quota, boolean retired) {}

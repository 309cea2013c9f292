package org.masticspread.ctl.client;

import org.masticspread.model.id.TeamId;

/**
 * The bearer token of a team.
 *
 * @param team the team
 * @param token the token
 */
public record TeamToken(TeamId team, String token) {
  @Override
  public String toString() {
    return "TeamToken[" + team + "]";
  }
}

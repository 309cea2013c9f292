package org.masticspread.model.id;

/**
 * Identifies a request by its team and id.
 *
 * @param team the team
 * @param request the request
 */
public record RequestKey(TeamId team, RequestId request) {

  @Override
  public String toString() {
    return team + "/" + request;
  }
}

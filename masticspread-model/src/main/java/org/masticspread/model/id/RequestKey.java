package org.masticspread.model.id;

/**
 * Names a request together with its team.
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

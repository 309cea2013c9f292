package org.masticspread.model.config;

import java.time.Duration;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.work.Urgency;

/**
 * The configuration of a work class of a team.
 *
 * @param team the team
 * @param name the work class
 * @param urgency how soon its work must be served
 * @param idempotent whether its work may run more than once
 * @param floor the fraction of the team's floor guaranteed to it while it has work, from 0 to 1
 * @param answerWithin the time within which a request must be answered
 * @param expectedRatePerSecond the expected arrival rate per second; 0 if unspecified
 * @param queueLimit the maximum number of queued requests, at least 1
 * @param queueLimitBytes the maximum total size of the bodies of queued requests, in bytes
 * @param retired whether new work is refused
 */
public record WorkClassConfig(
    TeamId team,
    WorkClassId name,
    Urgency urgency,
    boolean idempotent,
    double floor,
    Duration answerWithin,
    double expectedRatePerSecond,
    int queueLimit,
    long queueLimitBytes,
    boolean retired) {

  /**
   * Returns the key of the work class.
   *
   * @return the team and the work class
   */
  public ClassKey key() {
    return new ClassKey(team, name);
  }
}

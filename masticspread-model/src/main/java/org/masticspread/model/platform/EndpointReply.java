package org.masticspread.model.platform;

import org.masticspread.model.work.Payload;

/**
 * The end of a call to an endpoint.
 *
 * @param outcome how it ended
 * @param body the whole answer, empty unless ANSWERED or ERROR
 * @param detail a short sentence
 */
public record EndpointReply(EndpointOutcome outcome, Payload body, String detail) {

  /**
   * Returns a reply without a body.
   *
   * @param outcome how the call ended
   * @param detail a short sentence
   * @return the reply
   */
  public static EndpointReply of(EndpointOutcome outcome, String detail) {
    return new EndpointReply(outcome, Payload.EMPTY, detail);
  }
}

package org.masticspread.model.platform;

import org.masticspread.model.work.Payload;

/**
 * The result of a call to an endpoint.
 *
 * @param outcome the outcome
 * @param body the complete response body; empty unless ANSWERED or ERROR
 * @param detail a description, as a short sentence
 */
public record EndpointReply(EndpointOutcome outcome, Payload body, String detail) {

  /**
   * Returns a reply without a body.
   *
   * @param outcome the outcome of the call
   * @param detail a description, as a short sentence
   * @return the reply
   */
  public static EndpointReply of(EndpointOutcome outcome, String detail) {
    return new EndpointReply(outcome, Payload.EMPTY, detail);
  }
}

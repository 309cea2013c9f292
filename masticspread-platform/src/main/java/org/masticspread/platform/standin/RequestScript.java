package org.masticspread.platform.standin;

import java.time.Duration;
import java.time.format.DateTimeParseException;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;

/** Defines the behaviour of requests at an executor. */
@FunctionalInterface
public interface RequestScript {
  /**
   * Interprets the body: {@code sleep:PT0.05S} is answered after 50 ms, {@code error} immediately
   * with an error, any other body immediately. The answer is the request key, a space and the body.
   */
  RequestScript ECHO = RequestScript::echo;

  /**
   * Returns the behaviour of a request.
   *
   * @param endpoint the endpoint that runs it
   * @param request the request
   * @return the behaviour
   */
  Service serve(EndpointId endpoint, RequestSpec request);

  /**
   * The behaviour of a request.
   *
   * @param time the run time at speed 1
   * @param outcome ANSWERED or ERROR
   * @param body the body of the answer
   */
  record Service(Duration time, EndpointOutcome outcome, Payload body) {}

  private static Service echo(EndpointId endpoint, RequestSpec request) {
    String text = request.body().asText();
    boolean fails = text.startsWith("error");
    EndpointOutcome outcome = fails ? EndpointOutcome.ERROR : EndpointOutcome.ANSWERED;
    return new Service(time(text), outcome, Payload.ofText(request.key() + " " + text));
  }

  private static Duration time(String text) {
    if (!text.startsWith("sleep:")) {
      return Duration.ZERO;
    }
    try {
      return Duration.parse(text.substring("sleep:".length()).split(" ", 2)[0]);
    } catch (DateTimeParseException e) {
      return Duration.ZERO;
    }
  }
}

package org.masticspread.platform.http;

/**
 * Result of an HTTP call.
 *
 * @param kind whether a complete answer arrived
 * @param outcome the outcome header of a complete answer; empty otherwise
 * @param body the body of a complete answer; empty otherwise
 * @param detail a short description of the failure
 */
record HttpResult(Kind kind, String outcome, byte[] body, String detail) {
  enum Kind {
    /** A complete answer to this call arrived. */
    ANSWERED,
    /** Nothing was sent, for lack of a connection. */
    NOT_SENT,
    /** Data may have been sent, but no complete answer arrived. */
    NO_ANSWER
  }

  private static final byte[] NO_BODY = new byte[0];

  static HttpResult notSent(String detail) {
    return new HttpResult(Kind.NOT_SENT, "", NO_BODY, detail);
  }

  static HttpResult noAnswer(String detail) {
    return new HttpResult(Kind.NO_ANSWER, "", NO_BODY, detail);
  }

  static HttpResult answered(String outcome, byte[] body) {
    return new HttpResult(Kind.ANSWERED, outcome, body, "");
  }

  boolean isAnswered() {
    return kind == Kind.ANSWERED;
  }
}

package org.masticspread.platform.http;

/**
 * How an HTTP call ended.
 *
 * @param kind whether a whole answer came
 * @param outcome the outcome header of a whole answer, else empty
 * @param body the body of a whole answer
 * @param detail a short sentence
 */
record HttpResult(Kind kind, String outcome, byte[] body, String detail) {
  enum Kind {
    /** A whole answer to this call came. */
    ANSWERED,
    /** No connection could be opened; nothing was sent. */
    NOT_SENT,
    /** Something may have been sent; no whole answer came. */
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

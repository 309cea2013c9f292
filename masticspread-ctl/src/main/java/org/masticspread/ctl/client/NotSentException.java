package org.masticspread.ctl.client;

import java.io.IOException;

/** An error that tells that no part of a call was sent, since no connection could be opened. */
final class NotSentException extends IOException {
  private static final long serialVersionUID = 1L;

  NotSentException(String message, IOException cause) {
    super(message, cause);
  }
}

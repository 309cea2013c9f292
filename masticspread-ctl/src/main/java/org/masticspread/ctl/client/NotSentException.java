package org.masticspread.ctl.client;

import java.io.IOException;

/** No connection could be opened; nothing of the call was sent. */
final class NotSentException extends IOException {
  private static final long serialVersionUID = 1L;

  NotSentException(String message, IOException cause) {
    super(message, cause);
  }
}

package org.masticspread.platform.http;

import okhttp3.Call;
import okhttp3.EventListener;

/** Notes on a request whether anything of it may have been sent. */
final class SendMark {
  /** Sets the mark of each request just before its first byte is written. */
  static final EventListener LISTENER =
      new EventListener() {
        @Override
        public void requestHeadersStart(Call call) {
          SendMark mark = call.request().tag(SendMark.class);
          if (mark != null) {
            mark.sent = true;
          }
        }
      };

  private volatile boolean sent;

  boolean mayHaveBeenSent() {
    return sent;
  }
}

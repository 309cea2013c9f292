package org.masticspread.platform.http;

import okhttp3.Call;
import okhttp3.EventListener;

/** Request tag that records whether any part of the request may have been sent. */
final class SentFlag {
  /** Sets the flag of each request just before its first byte is written. */
  static final EventListener LISTENER =
      new EventListener() {
        @Override
        public void requestHeadersStart(Call call) {
          SentFlag flag = call.request().tag(SentFlag.class);
          if (flag != null) {
            flag.sent = true;
          }
        }
      };

  private volatile boolean sent;

  boolean mayHaveBeenSent() {
    return sent;
  }
}

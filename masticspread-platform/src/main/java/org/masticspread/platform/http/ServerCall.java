package org.masticspread.platform.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * One call that the server has read.
 *
 * @param channel its connection
 * @param path its path
 * @param id its call id
 * @param body its body
 */
record ServerCall(Channel channel, String path, String id, byte[] body) {
  private static final String FOREIGN_ID = "foreign";

  void answer(ServerAnswer answer) {
    answerAs(answer, id);
  }

  /** Answers as if to another call. */
  void answerForeign(ServerAnswer answer) {
    answerAs(answer, FOREIGN_ID);
  }

  /** Answers half of the body, then closes. */
  void answerHalf(ServerAnswer answer) {
    byte[] whole = Protocol.sealed(answer.body(), id);
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()));
    describe(head.headers(), answer, id, whole.length);
    channel.write(head);
    channel
        .writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(whole, 0, whole.length / 2)))
        .addListener(ChannelFutureListener.CLOSE);
  }

  void close() {
    channel.close();
  }

  private void answerAs(ServerAnswer answer, String answerId) {
    if (answer.status() == 0) {
      close();
      return;
    }
    byte[] whole = Protocol.sealed(answer.body(), answerId);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            Unpooled.wrappedBuffer(whole));
    describe(response.headers(), answer, answerId, whole.length);
    channel.writeAndFlush(response);
  }

  private static void describe(
      HttpHeaders headers, ServerAnswer answer, String answerId, int length) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/octet-stream");
    headers.setInt(HttpHeaderNames.CONTENT_LENGTH, length);
    headers.set(Protocol.CALL_ID, answerId);
    headers.set(Protocol.OUTCOME, answer.outcome());
  }
}

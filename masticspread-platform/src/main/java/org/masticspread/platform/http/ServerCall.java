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
 * A call that the server has received.
 *
 * @param channel the connection
 * @param path the path
 * @param id the call id
 * @param body the body
 */
record ServerCall(Channel channel, String path, String id, byte[] body) {
  private static final String FOREIGN_ID = "foreign";

  void answer(ServerAnswer answer) {
    answerAs(answer, id);
  }

  /** Sends the answer with the id of another call. */
  void answerForeign(ServerAnswer answer) {
    answerAs(answer, FOREIGN_ID);
  }

  /** Sends half of the body and closes the connection. */
  void answerHalf(ServerAnswer answer) {
    byte[] content = Protocol.appendMarker(answer.body(), id);
    HttpResponse head =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()));
    setHeaders(head.headers(), answer, id, content.length);
    channel.write(head);
    channel
        .writeAndFlush(
            new DefaultHttpContent(Unpooled.wrappedBuffer(content, 0, content.length / 2)))
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
    byte[] content = Protocol.appendMarker(answer.body(), answerId);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            Unpooled.wrappedBuffer(content));
    setHeaders(response.headers(), answer, answerId, content.length);
    channel.writeAndFlush(response);
  }

  private static void setHeaders(
      HttpHeaders headers, ServerAnswer answer, String answerId, int length) {
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/octet-stream");
    headers.setInt(HttpHeaderNames.CONTENT_LENGTH, length);
    headers.set(Protocol.CALL_ID, answerId);
    headers.set(Protocol.OUTCOME, answer.outcome());
  }
}

package dev.arbutusroad.node.admin;

import dev.arbutusroad.http.Answer;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/** Creates answers with a content type for the admin listener. */
final class TextAnswers {
  static final String TEXT_TYPE = "text/plain; charset=utf-8";

  private TextAnswers() {}

  static Answer of(HttpResponseStatus status, String type, byte[] body) {
    Answer answer = Answer.of(status, Unpooled.wrappedBuffer(body));
    answer.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    return answer;
  }

  static Answer text(HttpResponseStatus status, String text) {
    return of(status, TEXT_TYPE, text.getBytes(StandardCharsets.UTF_8));
  }
}

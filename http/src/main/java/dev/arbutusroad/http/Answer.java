package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Objects;

/** The head of an answer and its body. */
public record Answer(HttpResponse head, Body body) {
  public Answer {
    Objects.requireNonNull(head, "head");
    Objects.requireNonNull(body, "body");
  }

  /** An answer that is there as a whole; takes the reference of the body. */
  public static Answer of(HttpResponseStatus status, ByteBuf body) {
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    return new Answer(head, Body.of(body));
  }

  public HttpHeaders headers() {
    return head.headers();
  }

  public int status() {
    return head.status().code();
  }
}

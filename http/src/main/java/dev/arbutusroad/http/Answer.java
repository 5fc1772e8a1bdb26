package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Objects;

/** An HTTP response: its head and its body, which may still be incomplete. */
public record Answer(HttpResponse head, Body body) {
  public Answer {
    Objects.requireNonNull(head, "head");
    Objects.requireNonNull(body, "body");
  }

  /** Returns a complete answer with the given body, and takes over its reference. */
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

package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes one message to a channel. A head and a first part are held until more is known, so that a
 * short message passes the pipeline once and takes one write.
 */
final class MessageWriter {
  private final Channel channel;
  private HttpMessage head;
  private ByteBuf first;

  MessageWriter(Channel channel, HttpMessage head) {
    this.channel = channel;
    this.head = head;
  }

  /** Takes a part of the body and its reference. */
  void part(ByteBuf part) {
    if (head != null && first == null) {
      first = part;
    } else {
      writeHeld();
      ChannelCalls.write(channel, new DefaultHttpContent(part));
    }
  }

  /** Sends what has been taken. */
  void flush() {
    writeHeld();
    channel.flush();
  }

  /** Ends the message and sends what has been taken. */
  ChannelFuture end() {
    if (head == null) {
      return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }
    HttpMessage whole = whole(first == null ? Unpooled.EMPTY_BUFFER : first);
    head = null;
    first = null;
    return channel.writeAndFlush(whole);
  }

  /** Drops what is held; to be called if the message is not ended. */
  void discard() {
    head = null;
    if (first != null) {
      first.release();
      first = null;
    }
  }

  private HttpMessage whole(ByteBuf body) {
    return head instanceof HttpRequest request
        ? new DefaultFullHttpRequest(
            request.protocolVersion(),
            request.method(),
            request.uri(),
            body,
            request.headers(),
            EmptyHttpHeaders.INSTANCE)
        : new DefaultFullHttpResponse(
            head.protocolVersion(),
            ((HttpResponse) head).status(),
            body,
            head.headers(),
            EmptyHttpHeaders.INSTANCE);
  }

  private void writeHeld() {
    if (head != null) {
      ChannelCalls.write(channel, head);
      head = null;
      if (first != null) {
        ChannelCalls.write(channel, new DefaultHttpContent(first));
        first = null;
      }
    }
  }
}

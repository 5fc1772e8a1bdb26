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
 * Writes one message to a channel. The head and the first part are buffered until the next part, a
 * flush or the end, so that a short message passes through the pipeline once and takes one write.
 */
final class MessageWriter {
  private final Channel channel;
  private HttpMessage head;
  private ByteBuf firstPart;

  MessageWriter(Channel channel, HttpMessage head) {
    this.channel = channel;
    this.head = head;
  }

  /** Writes or buffers a part of the body, and takes over its reference. */
  void part(ByteBuf part) {
    if (head != null && firstPart == null) {
      firstPart = part;
    } else {
      writeBuffered();
      ChannelCalls.write(channel, new DefaultHttpContent(part));
    }
  }

  /** Writes the buffered head and part, and flushes the channel. */
  void flush() {
    writeBuffered();
    channel.flush();
  }

  /** Ends the message and flushes the channel; returns the future of the last write. */
  ChannelFuture end() {
    if (head == null) {
      return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }
    HttpMessage fullMessage = fullMessage(firstPart == null ? Unpooled.EMPTY_BUFFER : firstPart);
    head = null;
    firstPart = null;
    return channel.writeAndFlush(fullMessage);
  }

  /** Releases the buffered head and part; to be called if the message is not ended. */
  void discard() {
    head = null;
    if (firstPart != null) {
      firstPart.release();
      firstPart = null;
    }
  }

  private HttpMessage fullMessage(ByteBuf body) {
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

  private void writeBuffered() {
    if (head != null) {
      ChannelCalls.write(channel, head);
      head = null;
      if (firstPart != null) {
        ChannelCalls.write(channel, new DefaultHttpContent(firstPart));
        firstPart = null;
      }
    }
  }
}

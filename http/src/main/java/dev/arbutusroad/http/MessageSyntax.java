package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.Supplier;

/**
 * Checks the bytes of a connection against the grammar of RFC 9112 before they are decoded. Netty's
 * decoder accepts more than the grammar: it skips what stands before a start line, takes any number
 * for a status, cuts a field name at a blank and a chunk size at the 32nd bit. A message that two
 * recipients read differently could be taken for another one, so it is rejected as a whole.
 */
final class MessageSyntax {
  /** One step of the decoder, which decodes at most to the end of a message. */
  @FunctionalInterface
  interface DecoderStep {
    void decode() throws Exception;
  }

  /** Checks what the fields of a decoded head state together. */
  @FunctionalInterface
  interface HeadCheck {
    void check(HttpMessage head) throws MalformedMessageException;
  }

  private final HeadSyntax head;
  private final HeadCheck headCheck;
  private final Supplier<HttpMessage> invalidMessage;
  private PartSyntax part;
  private int checkedBytes;
  private boolean malformed;
  private long droppedBytes;

  /**
   * Creates the check of a new connection.
   *
   * @param invalidMessage creates the message that reports a malformed head
   */
  MessageSyntax(StartLine startLine, HeadCheck headCheck, Supplier<HttpMessage> invalidMessage) {
    this.head = new HeadSyntax(startLine);
    this.headCheck = headCheck;
    this.invalidMessage = invalidMessage;
    this.part = head;
  }

  /**
   * Runs a step of the decoder, or adds a message that reports a failure. All bytes that follow a
   * malformed message are dropped.
   */
  void decode(ByteBuf buffer, List<Object> out, DecoderStep step) throws Exception {
    if (!malformed) {
      try {
        check(buffer);
      } catch (MalformedMessageException e) {
        malformed = true;
        out.add(failure(e));
      }
    }
    if (malformed) {
      droppedBytes += buffer.readableBytes();
      buffer.skipBytes(buffer.readableBytes());
      return;
    }
    int readableBytes = buffer.readableBytes();
    step.decode();
    decoded(readableBytes - buffer.readableBytes(), out);
  }

  /** Returns how many bytes have been dropped since the message that is malformed. */
  long droppedBytes() {
    return droppedBytes;
  }

  private void check(ByteBuf buffer) throws MalformedMessageException {
    int start = buffer.readerIndex();
    checkedBytes = part.check(buffer, start + checkedBytes) - start;
  }

  private HttpObject failure(MalformedMessageException cause) {
    HttpObject message = part == head ? invalidMessage.get() : new DefaultLastHttpContent();
    message.setDecoderResult(DecoderResult.failure(cause));
    return message;
  }

  /** Proceeds to the part of the message that follows what has been decoded. */
  private void decoded(int bytes, List<Object> messages) {
    checkedBytes = Math.max(0, checkedBytes - bytes);
    for (int i = 0; i < messages.size() && !malformed; i++) {
      HttpObject message = (HttpObject) messages.get(i);
      if (message instanceof HttpMessage decodedHead) {
        beginBody(decodedHead);
      }
      if (message.decoderResult().isFailure()) {
        malformed = true;
        drop(messages.subList(i + 1, messages.size()));
      } else if (message instanceof LastHttpContent) {
        head.reset();
        part = head;
      }
    }
  }

  private void beginBody(HttpMessage decodedHead) {
    part = PartSyntax.UNRESTRICTED;
    if (decodedHead.decoderResult().isFailure()) {
      return;
    }
    try {
      headCheck.check(decodedHead);
      if (Framing.isChunked(decodedHead)) {
        part = new ChunkedBodySyntax();
      }
    } catch (MalformedMessageException e) {
      decodedHead.setDecoderResult(DecoderResult.failure(e));
    }
  }

  private static void drop(List<Object> messages) {
    messages.forEach(ReferenceCountUtil::release);
    messages.clear();
  }
}

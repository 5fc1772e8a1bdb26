package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;

/**
 * One request on its way to another process, from the wait for a connection to the answer's end.
 */
public final class Attempt implements BodySink {
  private final HttpRequest head;
  private final Body requestBody;
  private final AttemptListener listener;
  private ClientConnection connection;
  private MessageWriter writer;
  private Body answerBody;
  private boolean requestWritten;
  private boolean closed;

  Attempt(HttpRequest head, Body requestBody, AttemptListener listener) {
    this.head = head;
    this.requestBody = requestBody;
    this.listener = listener;
  }

  /** Gives up: the listener is told nothing, and the connection is closed if it was used. */
  public void cancel() {
    if (closed) {
      return;
    }
    closed = true;
    abandonRequest();
    if (connection != null) {
      connection.close();
    }
    if (answerBody != null) {
      answerBody.cancel();
    }
  }

  /** Ends an attempt whose answer has begun but does not end in time. */
  public void expire(Throwable cause) {
    if (!closed) {
      closed = true;
      connection.close();
      abandonRequest();
      answerBody.fail(cause);
    }
  }

  boolean isClosed() {
    return closed;
  }

  /** No connection could be opened. */
  void unreachable(Throwable cause) {
    if (!closed) {
      closed = true;
      listener.failed(cause, false);
    }
  }

  /** Sends the request. */
  void start(ClientConnection opened) {
    connection = opened;
    writer = connection.writer(head);
    requestBody.consume(this);
    requestBody.setReady(connection.isWritable());
  }

  void setWritable(boolean writable) {
    if (!requestWritten) {
      requestBody.setReady(writable);
    }
  }

  /** Whether the connection may take another request after this one. */
  boolean isRequestWritten() {
    return requestWritten;
  }

  /** Whether the request lets its connection take another one afterwards. */
  boolean isReusable() {
    return HttpUtil.isKeepAlive(head);
  }

  /** Whether the answer has no body, whatever its head says. */
  boolean isAnswerBodyless() {
    return head.method().equals(HttpMethod.HEAD);
  }

  boolean isAnswered() {
    return answerBody != null;
  }

  void answered(Answer answer) {
    answerBody = answer.body();
    listener.answered(answer);
  }

  void receive(ByteBuf part) {
    answerBody.add(part);
  }

  /** No more of the answer is there at present. */
  void flushAnswer() {
    if (answerBody != null) {
      answerBody.flush();
    }
  }

  /** The answer is complete. */
  void received() {
    if (!closed) {
      closed = true;
      answerBody.complete();
      if (!requestWritten) {
        abandonRequest();
      }
    }
  }

  /** The rest of the request is not sent. */
  private void abandonRequest() {
    requestBody.cancel();
    if (writer != null) {
      writer.discard();
    }
  }

  /** The connection broke. */
  void broken(Throwable cause) {
    if (closed) {
      return;
    }
    closed = true;
    abandonRequest();
    if (answerBody == null) {
      listener.failed(cause, true);
    } else {
      answerBody.fail(cause);
    }
  }

  @Override
  public void part(ByteBuf part) {
    writer.part(part);
  }

  @Override
  public void flush() {
    writer.flush();
  }

  @Override
  public void completed() {
    requestWritten = true;
    connection.end(writer);
  }

  /** The request broke off at its source, so the rest of it can't be sent. */
  @Override
  public void failed(Throwable cause) {
    connection.close();
    broken(new IOException("the request broke off: " + cause.getMessage(), cause));
  }
}

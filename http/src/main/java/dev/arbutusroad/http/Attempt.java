package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;

/** One attempt to send a request, from the wait for a connection to the end of the answer. */
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

  /** Cancels the attempt without telling the listener; closes the connection if there is one. */
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

  /** Fails the body of an answer that has begun but does not end in time. */
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

  /** Fails the attempt because no connection could be opened. */
  void connectFailed(Throwable cause) {
    if (!closed) {
      closed = true;
      listener.failed(cause, false);
    }
  }

  /** Starts to send the request on the connection. */
  void start(ClientConnection openedConnection) {
    connection = openedConnection;
    writer = connection.requestWriter(head);
    requestBody.consume(this);
    requestBody.setReady(connection.isWritable());
  }

  void setWritable(boolean writable) {
    if (!requestWritten) {
      requestBody.setReady(writable);
    }
  }

  /** Returns whether the whole request has been written; if not, its connection is not reused. */
  boolean isRequestWritten() {
    return requestWritten;
  }

  /** Returns whether the request allows its connection to be kept alive. */
  boolean isKeepAlive() {
    return HttpUtil.isKeepAlive(head);
  }

  /** Returns whether the answer has no body, whatever its Content-Length. */
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

  /** Flushes the answer, as no more of it is available for the moment. */
  void flushAnswer() {
    if (answerBody != null) {
      answerBody.flush();
    }
  }

  /** Completes the answer; the rest of a request that is not yet written is dropped. */
  void completeAnswer() {
    if (!closed) {
      closed = true;
      answerBody.complete();
      if (!requestWritten) {
        abandonRequest();
      }
    }
  }

  /** Drops the rest of the request. */
  private void abandonRequest() {
    requestBody.cancel();
    if (writer != null) {
      writer.discard();
    }
  }

  /** Fails the attempt, or the body of its answer if the answer has begun. */
  void fail(Throwable cause) {
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
    connection.endRequest(writer);
  }

  /** Closes the connection, as the source of the request failed and the rest cannot be sent. */
  @Override
  public void failed(Throwable cause) {
    connection.close();
    fail(new IOException("the request body failed: " + cause.getMessage(), cause));
  }
}

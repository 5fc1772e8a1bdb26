package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.Attempt;
import dev.arbutusroad.http.AttemptListener;
import dev.arbutusroad.http.BodyEnd;
import dev.arbutusroad.http.BodyListener;
import dev.arbutusroad.http.EventLoopThread;
import dev.arbutusroad.http.HttpConnections;
import dev.arbutusroad.http.MalformedMessageException;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.concurrent.Future;
import java.util.concurrent.TimeoutException;

/** Sends one attempt of a call to the next process and classifies its outcome. */
final class Hop {
  private final HttpConnections connections;
  private final EventLoopThread thread;

  Hop(HttpConnections connections) {
    this.connections = connections;
    this.thread = connections.thread();
  }

  /** Schedules a task on the event loop, to run after the current one. */
  void execute(Runnable task) {
    thread.loop().execute(task);
  }

  /**
   * Sends the request with a timeout.
   *
   * @param received the request as received, without hop-by-hop and system headers
   * @param remainingNanos time until the deadline, which also covers the body of the answer
   * @param unknownOutcomeCode the code of a failure after which the peer may have received part of
   *     the request
   * @param listener adds the headers of the attempt and receives its outcome
   * @return a handle that cancels the attempt
   */
  Cancellable send(
      InetSocketAddress address,
      HttpRequest received,
      RequestBody body,
      long remainingNanos,
      ResultCode unknownOutcomeCode,
      HopListener listener) {
    HttpHeaders headers = received.headers().copy();
    listener.addHeaders(headers);
    OptionalLong length = body.bufferedLength();
    if (length.isPresent()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, Long.toString(length.getAsLong()));
    }
    if (body.isStreamed() && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    HttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, received.method(), received.uri(), headers);
    TimedAttempt timedAttempt = new TimedAttempt(unknownOutcomeCode, listener);
    timedAttempt.timer = thread.after(remainingNanos, timedAttempt);
    timedAttempt.attempt = connections.send(address, head, body.forAttempt(), timedAttempt);
    return timedAttempt;
  }

  /** Schedules a task to run after a pause. */
  void after(long pauseNanos, Runnable task) {
    var unused = thread.after(pauseNanos, task);
  }

  /** An attempt that is cut off at its deadline. */
  private static final class TimedAttempt
      implements AttemptListener, BodyListener, Cancellable, Runnable {
    private final ResultCode unknownOutcomeCode;
    private final HopListener listener;
    private Attempt attempt;
    private Future<?> timer;
    private boolean answered;

    TimedAttempt(ResultCode unknownOutcomeCode, HopListener listener) {
      this.unknownOutcomeCode = unknownOutcomeCode;
      this.listener = listener;
    }

    @Override
    public void answered(Answer answer) {
      answered = true;
      answer.body().whenEnded(this);
      listener.attemptEnded(new HopOutcome.Answered(answer));
    }

    @Override
    public void failed(Throwable cause, boolean sent) {
      timer.cancel(false);
      listener.attemptEnded(
          sent
              ? failure(failureCode(cause, unknownOutcomeCode), "the connection failed: " + cause)
              : failure(
                  ResultCode.TARGET_UNREACHABLE,
                  "the request was not sent: " + cause.getMessage()));
    }

    @Override
    public void bodyEnded(BodyEnd end) {
      timer.cancel(false);
    }

    /** Ends the attempt when its deadline has passed. */
    @Override
    public void run() {
      if (answered) {
        attempt.expire(new TimeoutException("the answer was not complete at the deadline"));
      } else {
        attempt.cancel();
        listener.attemptEnded(
            failure(ResultCode.DEADLINE_EXCEEDED, "no answer before the deadline"));
      }
    }

    @Override
    public void cancel() {
      timer.cancel(false);
      attempt.cancel();
    }

    private static HopOutcome failure(ResultCode code, String detail) {
      return new HopOutcome.Failed(new Failure(code, detail));
    }
  }

  /**
   * Returns the result code of an attempt that failed after its request was sent. A peer that has
   * sent a malformed answer is alive, so its outcome alone is unknown.
   */
  static ResultCode failureCode(Throwable error, ResultCode unknownOutcomeCode) {
    if (error instanceof TimeoutException) {
      return ResultCode.DEADLINE_EXCEEDED;
    }
    return error instanceof MalformedMessageException
        ? ResultCode.OUTCOME_UNKNOWN
        : unknownOutcomeCode;
  }
}

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

/** Sends one attempt of a call to the next process and classifies how it ended. */
final class Hop {
  private final HttpConnections connections;
  private final EventLoopThread thread;

  Hop(HttpConnections connections) {
    this.connections = connections;
    this.thread = connections.thread();
  }

  /** Runs a task on the event loop, later than the present one. */
  void execute(Runnable task) {
    thread.loop().execute(task);
  }

  /**
   * Sends the request.
   *
   * @param received the request as received, cleaned of hop-by-hop and system headers
   * @param remainingNanos time until the deadline; it covers the body of the answer as well
   * @param unknown the code of a failure after a byte may have reached the other side
   * @param caller completes the head and takes the outcome
   * @return cancels the attempt
   */
  Cancellable send(
      InetSocketAddress address,
      HttpRequest received,
      RequestBody body,
      long remainingNanos,
      ResultCode unknown,
      HopCaller caller) {
    HttpHeaders headers = received.headers().copy();
    caller.complete(headers);
    OptionalLong length = body.bufferedLength();
    if (length.isPresent()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, Long.toString(length.getAsLong()));
    }
    if (body.isStreamed() && !headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    HttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, received.method(), received.uri(), headers);
    Watch watch = new Watch(unknown, caller);
    watch.timer = thread.after(remainingNanos, watch);
    watch.attempt = connections.send(address, head, body.forAttempt(), watch);
    return watch;
  }

  /** Runs a task after a pause. */
  void after(long pauseNanos, Runnable task) {
    var unused = thread.after(pauseNanos, task);
  }

  /** Ends an attempt at its deadline. */
  private static final class Watch implements AttemptListener, BodyListener, Cancellable, Runnable {
    private final ResultCode unknown;
    private final HopCaller caller;
    private Attempt attempt;
    private Future<?> timer;
    private boolean answered;

    Watch(ResultCode unknown, HopCaller caller) {
      this.unknown = unknown;
      this.caller = caller;
    }

    @Override
    public void answered(Answer answer) {
      answered = true;
      answer.body().whenEnded(this);
      caller.attemptEnded(new HopOutcome.Answered(answer));
    }

    @Override
    public void failed(Throwable cause, boolean sent) {
      timer.cancel(false);
      caller.attemptEnded(
          sent
              ? failure(unknown, "the connection failed: " + cause)
              : failure(ResultCode.TARGET_UNREACHABLE, "no connection: " + cause.getMessage()));
    }

    @Override
    public void bodyEnded(BodyEnd end) {
      timer.cancel(false);
    }

    /** The deadline has passed. */
    @Override
    public void run() {
      if (answered) {
        attempt.expire(new TimeoutException("the answer was not complete at the deadline"));
      } else {
        attempt.cancel();
        caller.attemptEnded(failure(ResultCode.DEADLINE_EXCEEDED, "no answer before the deadline"));
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

  /** The code of an answer that broke off. */
  static ResultCode code(Throwable error, ResultCode unknown) {
    return error instanceof TimeoutException ? ResultCode.DEADLINE_EXCEEDED : unknown;
  }
}

package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.claim.RecordedAnswer;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.Body;
import dev.arbutusroad.http.Exchange;
import dev.arbutusroad.node.claim.ClaimDecision;
import dev.arbutusroad.node.claim.ClaimHandle;
import dev.arbutusroad.node.claim.Claims;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Runs each unrepeatable order with a key at most once: claims it first and records its answer. */
final class ClaimedOrderRunner {
  /**
   * Time between the deadline of the claim and that of the call, at most a tenth of the time left.
   * It lets "not run" reach the caller's node before that node reports an unknown outcome.
   */
  private static final long CLAIM_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final Claims claims;
  private final Ticker ticker;
  private final Answers answers;

  ClaimedOrderRunner(Claims claims, Ticker ticker, Answers answers) {
    this.claims = claims;
    this.ticker = ticker;
    this.answers = answers;
  }

  /** Returns whether a call has to be claimed before it runs. */
  static boolean isClaimed(ReceivedCall call, CallContext context) {
    return context.unrepeatable() && call.orderKey().isPresent();
  }

  /**
   * Claims an order and runs it, or answers it from an earlier claim.
   *
   * @param eventLoop the thread of the data path
   * @param run sends the order to the target and passes the answer to its argument; called at most
   *     once, after the claim is confirmed
   * @param reply answers the caller
   */
  void run(
      ReceivedCall call,
      CallContext context,
      long deadlineNanos,
      Executor eventLoop,
      Consumer<Consumer<Answer>> run,
      Consumer<Answer> reply) {
    long margin = Math.min(CLAIM_MARGIN_NANOS, (deadlineNanos - ticker.nanos()) / 10);
    CompletableFuture<ClaimDecision> claim =
        claims.claim(
            call.service(), call.orderKey().orElseThrow(), deadlineNanos - margin, eventLoop);
    Exchange exchange = call.exchange();
    exchange.whenEnded(complete -> claim.cancel(false));
    var unused =
        claim.thenAccept(
            decision -> {
              if (!exchange.isEnded()) {
                applyDecision(call, context, deadlineNanos, decision, run, reply);
              } else if (decision instanceof ClaimDecision.Run abandoned) {
                abandoned.handle().releaseNotRun();
              }
            });
  }

  private void applyDecision(
      ReceivedCall call,
      CallContext context,
      long deadlineNanos,
      ClaimDecision decision,
      Consumer<Consumer<Answer>> run,
      Consumer<Answer> reply) {
    if (decision instanceof ClaimDecision.Run claimed) {
      if (deadlineNanos - ticker.nanos() <= 0) {
        claimed.handle().releaseNotRun();
        reply.accept(failure(context, Failure.of(ResultCode.EXPIRED_IN_QUEUE)));
        return;
      }
      // For an order that ends without an answer; a handle ignores all reports but the first.
      call.exchange()
          .whenEnded(
              complete -> {
                if (!complete) {
                  claimed.handle().outcomeUnknown();
                }
              });
      run.accept(
          answer -> {
            reportOutcome(answer, claimed.handle());
            reply.accept(answer);
          });
    } else if (decision instanceof ClaimDecision.Answer recorded) {
      reply.accept(recordedAnswer(context, recorded.answer()));
    } else {
      reply.accept(failure(context, ((ClaimDecision.Refuse) decision).failure()));
    }
  }

  /** Reports the outcome to the claim, from the answer's head or when its body has ended. */
  private static void reportOutcome(Answer answer, ClaimHandle handle) {
    if (!answer.headers().contains(ArbutusHeaders.RESULT)) {
      AnswerRecorder.record(answer, handle);
    } else if (answer.headers().contains(ArbutusHeaders.RUN, ArbutusHeaders.RUN_NOT_RUN, false)) {
      handle.releaseNotRun();
    } else {
      handle.outcomeUnknown();
    }
  }

  private static Answer recordedAnswer(CallContext context, RecordedAnswer recorded) {
    HttpResponse head =
        new DefaultHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(recorded.status()));
    recorded.headers().forEach(header -> head.headers().add(header.name(), header.value()));
    if (recorded.status() != NO_CONTENT && recorded.status() != NOT_MODIFIED) {
      head.headers().set(HttpHeaderNames.CONTENT_LENGTH, recorded.bodyLength());
    }
    head.headers().set(ArbutusHeaders.UNUSED, context.grant());
    return new Answer(head, Body.of(Unpooled.wrappedBuffer(recorded.body())));
  }

  private Answer failure(CallContext context, Failure failure) {
    Answer answer = answers.failure(failure);
    answer.headers().set(ArbutusHeaders.UNUSED, context.grant());
    return answer;
  }
}

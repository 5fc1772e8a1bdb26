package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.routing.TargetSelector;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.BodyEnd;
import dev.arbutusroad.http.BodyListener;
import java.util.concurrent.TimeoutException;

/** Tells the target table once how an attempt ended. */
final class Settlement implements BodyListener {
  private static final int SERVER_ERROR = 500;

  private final TargetSelector targets;
  private final Ticker ticker;
  private final Member member;
  private final long startedNanos;
  private long latencyNanos;
  private boolean serverError;
  private boolean settled;

  Settlement(TargetSelector targets, Ticker ticker, Member member, long startedNanos) {
    this.targets = targets;
    this.ticker = ticker;
    this.member = member;
    this.startedNanos = startedNanos;
  }

  /** The target of the attempt. */
  Member member() {
    return member;
  }

  /** Settles the attempt when the body of its answer has ended. */
  void track(Answer answer) {
    latencyNanos = ticker.nanos() - startedNanos;
    serverError = answer.status() >= SERVER_ERROR;
    answer.body().whenEnded(this);
  }

  @Override
  public void bodyEnded(BodyEnd end) {
    if (end instanceof BodyEnd.Completed) {
      completed();
    } else if (end instanceof BodyEnd.Failed broken
        && !(broken.cause() instanceof TimeoutException)) {
      failed();
    } else {
      abandoned();
    }
  }

  void refused(ResultCode code) {
    switch (code) {
      case TARGET_DIED, TARGET_UNREACHABLE, OUTCOME_UNKNOWN -> failed();
      case DEADLINE_EXCEEDED -> abandoned();
      default -> answered();
    }
  }

  private void failed() {
    if (settle()) {
      targets.failed(member, ticker.nanos());
    }
  }

  private void answered() {
    if (settle()) {
      targets.answered(member, ticker.nanos());
    }
  }

  /** No answer came in time, or the caller did not wait for one. */
  void abandoned() {
    if (settle()) {
      targets.unanswered(member, ticker.nanos());
    }
  }

  private void completed() {
    if (serverError) {
      answered();
    } else if (settle()) {
      targets.succeeded(member, latencyNanos, ticker.nanos());
    }
  }

  private boolean settle() {
    boolean first = !settled;
    settled = true;
    return first;
  }
}

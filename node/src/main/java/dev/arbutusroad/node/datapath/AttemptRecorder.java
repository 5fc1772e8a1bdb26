package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.routing.TargetSelector;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.BodyEnd;
import dev.arbutusroad.http.BodyListener;
import java.util.concurrent.TimeoutException;

/** Records the result of one attempt in the target table, once. */
final class AttemptRecorder implements BodyListener {
  private static final int SERVER_ERROR = 500;

  private final TargetSelector targets;
  private final Ticker ticker;
  private final Member member;
  private final long startedNanos;
  private long latencyNanos;
  private boolean serverError;
  private boolean recorded;

  AttemptRecorder(TargetSelector targets, Ticker ticker, Member member, long startedNanos) {
    this.targets = targets;
    this.ticker = ticker;
    this.member = member;
    this.startedNanos = startedNanos;
  }

  /** Returns the target of the attempt. */
  Member member() {
    return member;
  }

  /** Records the result when the body of the answer has ended. */
  void track(Answer answer) {
    latencyNanos = ticker.nanos() - startedNanos;
    serverError = answer.status() >= SERVER_ERROR;
    answer.body().whenEnded(this);
  }

  @Override
  public void bodyEnded(BodyEnd end) {
    if (end instanceof BodyEnd.Completed) {
      completed();
    } else if (end instanceof BodyEnd.Failed failed
        && !(failed.cause() instanceof TimeoutException)) {
      failed();
    } else {
      abandoned();
    }
  }

  /** Records an attempt that failed, or whose answer was rejected, with a result code. */
  void refused(ResultCode code) {
    switch (code) {
      case TARGET_DIED, TARGET_UNREACHABLE, OUTCOME_UNKNOWN -> failed();
      case DEADLINE_EXCEEDED -> abandoned();
      default -> answered();
    }
  }

  private void failed() {
    if (markRecorded()) {
      targets.failed(member, ticker.nanos());
    }
  }

  private void answered() {
    if (markRecorded()) {
      targets.answered(member, ticker.nanos());
    }
  }

  /** Records that no answer came in time or that the caller did not wait for one. */
  void abandoned() {
    if (markRecorded()) {
      targets.unanswered(member, ticker.nanos());
    }
  }

  private void completed() {
    if (serverError) {
      answered();
    } else if (markRecorded()) {
      targets.succeeded(member, latencyNanos, ticker.nanos());
    }
  }

  private boolean markRecorded() {
    boolean first = !recorded;
    recorded = true;
    return first;
  }
}

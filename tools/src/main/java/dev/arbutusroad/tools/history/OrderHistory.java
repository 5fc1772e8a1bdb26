package dev.arbutusroad.tools.history;

import dev.arbutusroad.core.result.RunState;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A record of the orders that callers sent, the runs on targets and the replies to callers.
 *
 * <p>Each request has its own id, which the target reports with the run. An answer "not run" can
 * therefore be checked against the runs of exactly that request.
 */
public final class OrderHistory {
  private final List<SentRequest> requests = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  private final List<Reply> replies = new ArrayList<>();

  /** A request of a caller; a resent order has the same key and another id. */
  public record SentRequest(long id, String orderKey) {
    public SentRequest {
      Objects.requireNonNull(orderKey, "orderKey");
    }
  }

  /** A run on a target, with the answer of the target, if there was one. */
  public record Run(long requestId, String orderKey, Optional<String> answer) {
    public Run {
      Objects.requireNonNull(orderKey, "orderKey");
      Objects.requireNonNull(answer, "answer");
    }
  }

  /** The reply to a request; {@code answer} is present if the run state is RUN. */
  public record Reply(long requestId, RunState runState, Optional<String> answer) {
    public Reply {
      Objects.requireNonNull(runState, "runState");
      Objects.requireNonNull(answer, "answer");
    }
  }

  /** Records a request before it leaves the caller and returns its id. */
  public synchronized long recordRequest(String orderKey) {
    long id = requests.size() + 1L;
    requests.add(new SentRequest(id, orderKey));
    return id;
  }

  /** Records that a target started to run a request. */
  public synchronized void recordRun(long requestId, String orderKey, Optional<String> answer) {
    runs.add(new Run(requestId, orderKey, answer));
  }

  /** Records the reply to a request. */
  public synchronized void recordReply(long requestId, RunState runState, Optional<String> answer) {
    replies.add(new Reply(requestId, runState, answer));
  }

  public synchronized List<SentRequest> requests() {
    return List.copyOf(requests);
  }

  public synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  public synchronized List<Reply> replies() {
    return List.copyOf(replies);
  }
}

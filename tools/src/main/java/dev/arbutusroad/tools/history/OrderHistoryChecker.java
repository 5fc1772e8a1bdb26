package dev.arbutusroad.tools.history;

import dev.arbutusroad.core.result.RunState;
import dev.arbutusroad.tools.history.OrderHistory.Reply;
import dev.arbutusroad.tools.history.OrderHistory.Run;
import dev.arbutusroad.tools.history.OrderHistory.SentRequest;
import dev.arbutusroad.tools.history.OrderViolation.Kind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Checks a history for violations of at-most-once execution and of the "not run" guarantee. */
public final class OrderHistoryChecker {
  private final Map<Long, SentRequest> requests;
  private final Map<String, List<SentRequest>> requestsByKey;
  private final Map<String, List<Run>> runsByKey;
  private final Map<Long, List<Reply>> repliesByRequest;
  private final List<OrderViolation> violations = new ArrayList<>();

  private OrderHistoryChecker(OrderHistory history) {
    requests =
        history.requests().stream().collect(Collectors.toMap(SentRequest::id, Function.identity()));
    requestsByKey =
        history.requests().stream().collect(Collectors.groupingBy(SentRequest::orderKey));
    runsByKey = history.runs().stream().collect(Collectors.groupingBy(Run::orderKey));
    repliesByRequest =
        new HashMap<>(history.replies().stream().collect(Collectors.groupingBy(Reply::requestId)));
  }

  /** Returns the violations in a history; empty if there are none. */
  public static List<OrderViolation> check(OrderHistory history) {
    OrderHistoryChecker checker = new OrderHistoryChecker(history);
    checker.runsByKey.forEach(checker::checkRuns);
    history.replies().forEach(checker::checkReply);
    return List.copyOf(checker.violations);
  }

  private void checkRuns(String orderKey, List<Run> runs) {
    if (runs.size() > 1) {
      add(Kind.RAN_TWICE, orderKey, runs.toString());
    }
    for (Run run : runs) {
      SentRequest request = requests.get(run.requestId());
      if (request == null || !request.orderKey().equals(orderKey)) {
        add(Kind.NEVER_SENT, orderKey, run.toString());
      }
    }
    List<SentRequest> sentRequests = requestsByKey.getOrDefault(orderKey, List.of());
    if (!sentRequests.isEmpty()
        && sentRequests.stream().allMatch(request -> wasAnsweredNotRun(request.id()))) {
      add(Kind.ALL_NOT_RUN_BUT_RAN, orderKey, sentRequests.toString());
    }
  }

  private void checkReply(Reply reply) {
    String orderKey = requests.get(reply.requestId()).orderKey();
    List<Run> runs = runsByKey.getOrDefault(orderKey, List.of());
    if (reply.runState() == RunState.NOT_RUN
        && runs.stream().anyMatch(run -> run.requestId() == reply.requestId())) {
      add(Kind.NOT_RUN_BUT_RAN, orderKey, reply.toString());
    }
    if (reply.runState() != RunState.RUN) {
      return;
    }
    if (runs.isEmpty()) {
      add(Kind.ANSWERED_WITHOUT_RUN, orderKey, reply.toString());
      return;
    }
    Set<?> answers = runs.stream().map(Run::answer).collect(Collectors.toSet());
    if (!answers.contains(reply.answer())) {
      add(Kind.OTHER_ANSWER, orderKey, reply + " instead of " + answers);
    }
  }

  private boolean wasAnsweredNotRun(long requestId) {
    List<Reply> replies = repliesByRequest.getOrDefault(requestId, List.of());
    return !replies.isEmpty()
        && replies.stream().allMatch(reply -> reply.runState() == RunState.NOT_RUN);
  }

  private void add(Kind kind, String orderKey, String detail) {
    violations.add(new OrderViolation(kind, orderKey, detail));
  }
}

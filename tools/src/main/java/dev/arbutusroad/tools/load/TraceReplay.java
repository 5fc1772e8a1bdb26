package dev.arbutusroad.tools.load;

import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.tools.load.CallResult.Answer;
import dev.arbutusroad.tools.trace.Trace;
import dev.arbutusroad.tools.trace.TraceCall;
import dev.arbutusroad.tools.trace.TraceControl;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Sends the calls of a trace on schedule as an open-loop load: a call does not wait for earlier
 * answers. Latency is measured from the scheduled time, so that it includes a late start.
 */
final class TraceReplay {
  private static final int GRACE_SECONDS = 5;

  private final Trace trace;
  private final List<StreamingHttpClient> clients;
  private final Consumer<TraceControl> controls;
  private final Ticker ticker = Ticker.system();
  private final AtomicReferenceArray<CallResult> results;
  private final Queue<String> notRunAttempts = new ConcurrentLinkedQueue<>();
  private final CountDownLatch pending;
  private long startNanos;

  TraceReplay(Trace trace, List<StreamingHttpClient> clients, Consumer<TraceControl> controls) {
    this.trace = trace;
    this.clients = List.copyOf(clients);
    this.controls = controls;
    this.results = new AtomicReferenceArray<>(trace.calls().size());
    this.pending = new CountDownLatch(trace.calls().size());
  }

  /** The results in the order of the calls, and the attempts that were answered "not run". */
  record ReplayResult(List<CallResult> results, List<String> notRunAttempts) {
    ReplayResult {
      results = List.copyOf(results);
      notRunAttempts = List.copyOf(notRunAttempts);
    }
  }

  /**
   * Replays the trace and waits for the last answer.
   *
   * @throws InterruptedException if the thread is interrupted
   */
  ReplayResult run() throws InterruptedException {
    startNanos = ticker.nanos();
    int nextControl = 0;
    for (int i = 0; i < trace.calls().size(); i++) {
      int atMillis = trace.calls().get(i).atMillis();
      while (nextControl < trace.controls().size()
          && trace.controls().get(nextControl).atMillis() <= atMillis) {
        TraceControl control = trace.controls().get(nextControl++);
        sleepUntil(scheduledNanos(control.atMillis()));
        controls.accept(control);
      }
      sleepUntil(scheduledNanos(atMillis));
      send(i);
    }
    long maxDeadlineMillis =
        trace.calls().stream().mapToLong(TraceCall::deadlineMillis).max().orElse(0);
    long waitMillis = maxDeadlineMillis + TimeUnit.SECONDS.toMillis(GRACE_SECONDS);
    boolean complete = pending.await(waitMillis, TimeUnit.MILLISECONDS);
    return new ReplayResult(results(complete), List.copyOf(notRunAttempts));
  }

  private List<CallResult> results(boolean complete) {
    List<CallResult> filled = new ArrayList<>(results.length());
    for (int i = 0; i < results.length(); i++) {
      CallResult result = results.get(i);
      filled.add(
          complete || result != null
              ? result
              : new CallResult(Answer.TIMED_OUT, ticker.nanos() - startNanos, 1));
    }
    return filled;
  }

  private void send(int index) {
    TraceCall call = trace.calls().get(index);
    StreamingHttpClient client = clients.get(index % clients.size());
    sendAttempts(client, call, index, 1)
        .subscribe(
            result -> {
              results.set(index, result);
              pending.countDown();
            });
  }

  private Single<CallResult> sendAttempts(
      StreamingHttpClient client, TraceCall call, int index, int attemptNumber) {
    long scheduledNanos = scheduledNanos(call.atMillis());
    long remainingMillis =
        call.deadlineMillis() - TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - scheduledNanos);
    String attempt =
        "%s-%d-%d-%d".formatted(trace.header().name(), startNanos, index, attemptNumber);
    long waitMillis = Math.min(remainingMillis, trace.header().attemptMillis());
    return AttemptClient.send(client, call, attempt, waitMillis)
        .flatMap(
            answer -> {
              if (answer == Answer.NOT_RUN) {
                notRunAttempts.add(attempt);
              }
              long latencyNanos = ticker.nanos() - scheduledNanos;
              boolean inTime = latencyNanos < TimeUnit.MILLISECONDS.toNanos(call.deadlineMillis());
              boolean answered = answer == Answer.CORRECT || answer == Answer.WRONG;
              return answered || !inTime || attemptNumber > trace.header().retries()
                  ? Single.succeeded(new CallResult(answer, latencyNanos, attemptNumber))
                  : sendAttempts(client, call, index, attemptNumber + 1);
            });
  }

  private long scheduledNanos(int atMillis) {
    return startNanos + TimeUnit.MILLISECONDS.toNanos(atMillis);
  }

  private void sleepUntil(long nanos) throws InterruptedException {
    long remainingNanos = nanos - ticker.nanos();
    while (remainingNanos > 0) {
      LockSupport.parkNanos(remainingNanos);
      if (Thread.interrupted()) {
        throw new InterruptedException();
      }
      remainingNanos = nanos - ticker.nanos();
    }
  }
}

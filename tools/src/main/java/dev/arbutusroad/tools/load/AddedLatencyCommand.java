package dev.arbutusroad.tools.load;

import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.tools.http.HttpEndpoints;
import dev.arbutusroad.tools.load.CallResult.Answer;
import dev.arbutusroad.tools.trace.TraceCall;
import io.servicetalk.http.api.StreamingHttpClient;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * {@code load added-latency}: interleaves calls that go directly to a target with calls that go
 * through nodes, in one run, and prints the difference at each percentile.
 */
final class AddedLatencyCommand {
  private static final int HISTOGRAM_DIGITS = 3;
  private static final double[] PERCENTILES = {50, 99, 99.9};
  private static final double NANOS_PER_MILLI = 1_000_000;
  private static final int DEADLINE_MILLIS = 5_000;

  @Option(name = "--direct", required = true, metaVar = "HOST:PORT", usage = "a target")
  private String direct = "";

  @Option(
      name = "--through",
      required = true,
      metaVar = "HOST:PORT",
      usage = "caller listener of a node of another service; repeatable")
  private List<String> through = new ArrayList<>();

  @Option(name = "--service", required = true, metaVar = "NAME", usage = "service of the target")
  private String service = "";

  @Option(name = "--path", metaVar = "PATH", usage = "path of the calls")
  private String path = "/added-latency?bytes=512";

  @Option(name = "--rate", metaVar = "N", usage = "calls a second on each path")
  private int ratePerSecond = 100;

  @Option(name = "--seconds", metaVar = "N", usage = "measured seconds")
  private int seconds = 20;

  @Option(name = "--warm-up-seconds", metaVar = "N", usage = "seconds before the measured ones")
  private int warmUpSeconds = 10;

  private final PrintStream out;
  private final Ticker ticker = Ticker.system();
  private final Map<String, Histogram> histograms = new ConcurrentHashMap<>();
  private final AtomicLong failures = new AtomicLong();

  AddedLatencyCommand(PrintStream out) {
    this.out = out;
  }

  Either<Failure, Void> run(List<String> args) throws CmdLineException, IOException {
    new CmdLineParser(this).parseArgument(args);
    try (Closer closer = new Closer()) {
      StreamingHttpClient target =
          closer.register(HttpEndpoints.client(HttpEndpoints.parse(direct)));
      List<StreamingHttpClient> nodes = new ArrayList<>();
      for (String node : through) {
        nodes.add(closer.register(HttpEndpoints.client(HttpEndpoints.parse(node))));
      }
      measure(target, nodes);
      print();
      return Either.right(null);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Either.left(new Failure(ResultCode.USAGE, "interrupted"));
    }
  }

  private void measure(StreamingHttpClient target, List<StreamingHttpClient> nodes)
      throws InterruptedException {
    int warmUpPairs = warmUpSeconds * ratePerSecond;
    int pairs = warmUpPairs + seconds * ratePerSecond;
    CountDownLatch pending = new CountDownLatch(2 * pairs);
    long intervalNanos = TimeUnit.SECONDS.toNanos(1) / (2L * ratePerSecond);
    long startNanos = ticker.nanos();
    for (int i = 0; i < 2 * pairs; i++) {
      long scheduledNanos = startNanos + i * intervalNanos;
      sleepUntil(scheduledNanos);
      boolean measured = i >= 2 * warmUpPairs;
      if (i % 2 == 0) {
        send(target, "direct", scheduledNanos, measured, pending);
      } else {
        send(nodes.get((i / 2) % nodes.size()), "through", scheduledNanos, measured, pending);
      }
    }
    pending.await(2L * DEADLINE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void send(
      StreamingHttpClient client,
      String name,
      long scheduledNanos,
      boolean measured,
      CountDownLatch pending) {
    TraceCall call =
        new TraceCall(0, service, "GET", path, "", Map.of(), 0, -1, "", DEADLINE_MILLIS);
    AttemptClient.send(client, call, name, DEADLINE_MILLIS)
        .subscribe(
            answer -> {
              if (measured && answer == Answer.CORRECT) {
                histogram(name).recordValue(ticker.nanos() - scheduledNanos);
              } else if (measured) {
                failures.incrementAndGet();
              }
              pending.countDown();
            });
  }

  private Histogram histogram(String name) {
    return histograms.computeIfAbsent(name, key -> new ConcurrentHistogram(HISTOGRAM_DIGITS));
  }

  private void print() {
    out.printf("%-10s %10s %10s %10s%n", "percentile", "direct_ms", "through_ms", "added_ms");
    for (double percentile : PERCENTILES) {
      double directMillis = millis("direct", percentile);
      double throughMillis = millis("through", percentile);
      out.printf(
          Locale.ROOT,
          "%-10s %10.3f %10.3f %10.3f%n",
          percentile,
          directMillis,
          throughMillis,
          throughMillis - directMillis);
    }
    out.printf(
        "direct=%d through=%d failures=%d%n",
        histogram("direct").getTotalCount(), histogram("through").getTotalCount(), failures.get());
  }

  private double millis(String name, double percentile) {
    return histogram(name).getValueAtPercentile(percentile) / NANOS_PER_MILLI;
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

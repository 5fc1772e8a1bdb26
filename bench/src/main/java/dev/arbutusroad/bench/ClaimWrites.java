package dev.arbutusroad.bench;

import dev.arbutusroad.core.claim.RecordedAnswer;
import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.node.claim.ClaimDecision;
import dev.arbutusroad.node.claim.ClaimsAgent;
import dev.arbutusroad.node.claim.ClaimsIdentity;
import dev.arbutusroad.platform.PlatformClient;
import dev.arbutusroad.tools.platform.PlatformFault;
import dev.arbutusroad.tools.platform.PlatformStandIn;
import dev.arbutusroad.tools.platform.PlatformStats;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * Measures the commits and rows per second that claims write at a given rate of orders, against the
 * stand-in platform.
 *
 * <p>Arguments: orders per second, nodes, seconds, delay of the platform in milliseconds.
 */
public final class ClaimWrites {
  private static final long SERVICE_TIME_MILLIS = 20;
  private static final int ANSWER_BYTES = 200;
  private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final int WARM_UP_SECONDS = 5;

  private final List<ClaimsAgent> nodes;
  private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
  private final AtomicLong runCount = new AtomicLong();
  private final AtomicLong refusedCount = new AtomicLong();
  private final RecordedAnswer answer =
      RecordedAnswer.of(201, List.of(), new byte[ANSWER_BYTES]).orElseThrow();
  private Histogram latencyMicros = new Histogram(3);
  private long orderCount;

  private ClaimWrites(List<ClaimsAgent> nodes) {
    this.nodes = nodes;
  }

  public static void main(String[] args) throws Exception {
    int ordersPerSecond = Integer.parseInt(args[0]);
    int nodeCount = Integer.parseInt(args[1]);
    int seconds = Integer.parseInt(args[2]);
    int storeDelayMillis = Integer.parseInt(args[3]);
    try (Closer closer = new Closer()) {
      PlatformStandIn platform =
          closer.register(PlatformStandIn.start(Addresses.of("127.0.0.1", 0)));
      if (storeDelayMillis > 0) {
        platform.setFaults(
            List.of(new PlatformFault(PlatformFault.Kind.SLOW, storeDelayMillis, 0, 0)));
      }
      ClaimWrites bench = new ClaimWrites(startNodes(nodeCount, platform, closer));
      bench.measure(ordersPerSecond, WARM_UP_SECONDS);
      bench.reset();
      PlatformStats before = platform.stats();
      bench.measure(ordersPerSecond, seconds);
      bench.print(seconds, before, platform.stats());
      // Lets orders in progress complete before the nodes close.
      TimeUnit.MILLISECONDS.sleep(10 * SERVICE_TIME_MILLIS);
    }
    // Threads of ServiceTalk's shared executors would keep the process alive.
    System.exit(0);
  }

  private static List<ClaimsAgent> startNodes(int count, PlatformStandIn platform, Closer closer)
      throws IOException {
    List<ClaimsAgent> nodes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      PlatformClient store = closer.register(new PlatformClient(platform.address()));
      nodes.add(
          closer.register(
              ClaimsAgent.start(new ClaimsIdentity("node-" + i, 1), store, Ticker.system())));
    }
    return nodes;
  }

  private void measure(int ordersPerSecond, int seconds) throws InterruptedException {
    var orders =
        scheduler.scheduleAtFixedRate(
            this::submitOrder,
            0,
            TimeUnit.SECONDS.toNanos(1) / ordersPerSecond,
            TimeUnit.NANOSECONDS);
    TimeUnit.SECONDS.sleep(seconds);
    orders.cancel(false);
  }

  private void reset() {
    latencyMicros = new Histogram(3);
    runCount.set(0);
    refusedCount.set(0);
  }

  private void submitOrder() {
    long startNanos = System.nanoTime();
    String key = "bench-" + orderCount;
    var unused =
        nodes
            .get((int) (orderCount % nodes.size()))
            .claim("orders", key, startNanos + DEADLINE_NANOS, scheduler)
            .thenAccept(decision -> recordDecision(decision, startNanos));
    orderCount++;
  }

  private void recordDecision(ClaimDecision decision, long startNanos) {
    if (decision instanceof ClaimDecision.Run claimed) {
      runCount.incrementAndGet();
      latencyMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
      var unused =
          scheduler.schedule(
              () -> claimed.handle().done(answer), SERVICE_TIME_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      refusedCount.incrementAndGet();
    }
  }

  private void print(int seconds, PlatformStats before, PlatformStats after) {
    System.out.printf(
        Locale.ROOT,
        "orders/s=%.0f refused=%d commits/s=%.0f rows/s=%.0f reads/s=%.1f"
            + " claim_ms_p50=%.1f claim_ms_p99=%.1f%n",
        runCount.get() / (double) seconds,
        refusedCount.get(),
        (after.commits() - before.commits()) / (double) seconds,
        (after.writes() - before.writes()) / (double) seconds,
        (after.reads() - before.reads()) / (double) seconds,
        latencyMicros.getValueAtPercentile(50) / 1e3,
        latencyMicros.getValueAtPercentile(99) / 1e3);
  }
}

package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.config.CallPolicy;
import dev.arbutusroad.core.config.PolicyResolver;
import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.settings.Limits;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.http.EventLoopThread;
import dev.arbutusroad.http.HttpConnections;
import dev.arbutusroad.platform.PlatformCallProtocol;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a running target that gets no calls from a new node until it announces itself. */
@Timeout(60)
final class TargetSearchTest {
  private final Closer closer = new Closer();
  private final EventLoopThread thread = closer.register(EventLoopThread.start("data-path"));
  private final TargetLease lease = new TargetLease(4_500);
  private final CountDownLatch serving = new CountDownLatch(1);

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void healthyTargetIsAdoptedBeforeItAnnouncesItself() throws Exception {
    RawTarget target = targetAnswering("HTTP/1.1 200 OK\r\nInstance-Id: i-7\r\n");
    TargetSearch search = search(target);
    thread.loop().submit(search::tick).get();
    assertThat(serving.await(20, TimeUnit.SECONDS)).isTrue();
    LocalTarget found = thread.call(() -> lease.target().orElseThrow());
    assertThat(found.instance()).isEqualTo("i-7");
    assertThat(found.service()).isEqualTo("orders");
    assertThat(target.heads().get(0)).startsWith("GET /health ");
  }

  @Test
  void leavingTargetOrTargetWithoutIdIsNotAdopted() throws Exception {
    for (String head :
        new String[] {
          "HTTP/1.1 503 Leaving\r\nInstance-Id: i-7\r\n", "HTTP/1.1 200 OK\r\nx-other: i-7\r\n"
        }) {
      RawTarget target = targetAnswering(head);
      TargetSearch search = search(target);
      while (target.heads().size() < 4) {
        thread.loop().submit(search::tick).get();
      }
      assertThat(thread.call(lease::target)).isEmpty();
      assertThat(serving.getCount()).isEqualTo(1);
    }
  }

  /** Guards against a departure that is acknowledged while a health check is under way. */
  @Test
  void targetThatLeavesDuringAHealthCheckIsNotAdopted() throws Exception {
    CountDownLatch left = new CountDownLatch(1);
    RawTarget target =
        closer.register(
            RawTarget.start(
                (request, in, out) -> {
                  left.await();
                  RawTarget.write(
                      out, "HTTP/1.1 200 OK\r\nInstance-Id: i-7\r\ncontent-length: 0\r\n\r\n");
                  return true;
                }));
    TargetSearch search = search(target);
    while (target.heads().isEmpty()) {
      thread.loop().submit(search::tick).get();
    }
    thread.call(() -> lease.endInstance("i-7", System.currentTimeMillis()));
    left.countDown();
    while (target.heads().size() < 4) {
      thread.loop().submit(search::tick).get();
    }
    assertThat(thread.call(lease::target)).isEmpty();
    assertThat(serving.getCount()).isEqualTo(1);
  }

  /**
   * Guards against the answer to a health check that is repeated late on a reused connection: it
   * carries no id of a request and could be a refusal.
   */
  @Test
  void connectionOfAHealthCheckIsNotReused() throws Exception {
    RawTarget target = targetAnswering("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n");
    TargetSearch search = search(target);
    while (target.heads().size() < 2) {
      thread.loop().submit(search::tick).get();
    }
    assertThat(target.connections()).isEqualTo(2);
  }

  private RawTarget targetAnswering(String head) throws IOException {
    return closer.register(
        RawTarget.start(
            (request, in, out) -> {
              RawTarget.write(out, head + "content-length: 0\r\n\r\n");
              return true;
            }));
  }

  private TargetSearch search(RawTarget target) {
    DataPathOptions options =
        new DataPathOptions(
            "n1",
            "r",
            "d",
            "a secret for tests only",
            Limits.defaults(),
            new PlatformCallProtocol(),
            Optional.of("orders"),
            Optional.of(target.address()),
            line -> {});
    Ticker ticker = Ticker.system();
    return new TargetSearch(
        options,
        lease,
        new HttpConnections(thread, ticker, 1_000),
        () -> Optional.of(new HealthPaths()),
        service -> serving.countDown(),
        ticker);
  }

  private static final class HealthPaths implements PolicyResolver {
    @Override
    public long version() {
      return 1;
    }

    @Override
    public CallPolicy resolve(CallAttributes call) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Optional<String> healthPath(String service) {
      return Optional.of("/health").filter(path -> service.equals("orders"));
    }
  }
}

package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.config.PolicyResolver;
import dev.arbutusroad.core.edge.CallProtocol;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.Attempt;
import dev.arbutusroad.http.AttemptListener;
import dev.arbutusroad.http.Body;
import dev.arbutusroad.http.HttpConnections;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Detects an already running target by health checks after the node has started, because the next
 * announcement of the target may be some time away. Owned by the data path.
 */
final class TargetSearch {
  private static final int MAX_CHECKS = 4;
  private static final long CHECK_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private final DataPathOptions options;
  private final TargetLease lease;
  private final HttpConnections connections;
  private final Supplier<Optional<PolicyResolver>> policies;
  private final Consumer<String> onAdopted;
  private final Ticker ticker;
  private int checksSent;
  private long nextCheckNanos;

  /**
   * Creates a search that has not sent a check.
   *
   * @param onAdopted receives the service of a target that the lease has adopted
   */
  TargetSearch(
      DataPathOptions options,
      TargetLease lease,
      HttpConnections connections,
      Supplier<Optional<PolicyResolver>> policies,
      Consumer<String> onAdopted,
      Ticker ticker) {
    this.options = options;
    this.lease = lease;
    this.connections = connections;
    this.policies = policies;
    this.onAdopted = onAdopted;
    this.ticker = ticker;
    nextCheckNanos = ticker.nanos();
  }

  /** Checks the target again, as a report that may be outdated says that it serves. */
  void restart() {
    checksSent = 0;
    nextCheckNanos = ticker.nanos();
  }

  /** Sends the next health check if it is due; called every few milliseconds. */
  void tick() {
    boolean isDue =
        checksSent < MAX_CHECKS && lease.isUnknown() && ticker.nanos() - nextCheckNanos >= 0;
    if (isDue && options.target().isPresent() && options.callerService().isPresent()) {
      String service = options.callerService().orElseThrow();
      policies
          .get()
          .flatMap(resolver -> resolver.healthPath(service))
          .ifPresent(path -> sendCheck(options.target().orElseThrow(), service, path));
    }
  }

  private void sendCheck(InetSocketAddress address, String service, String path) {
    checksSent++;
    nextCheckNanos = ticker.nanos() + CHECK_TIMEOUT_NANOS;
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    request.headers().set(HttpHeaderNames.HOST, service);
    Attempt attempt =
        connections.send(address, request, Body.empty(), new HealthCheck(address, service));
    var unused = connections.thread().after(CHECK_TIMEOUT_NANOS, attempt::cancel);
  }

  private final class HealthCheck implements AttemptListener {
    private final InetSocketAddress address;
    private final String service;

    HealthCheck(InetSocketAddress address, String service) {
      this.address = address;
      this.service = service;
    }

    @Override
    public void answered(Answer answer) {
      // The answer identifies no request, so a duplicate could be taken for that of the next one.
      answer.body().retireConnection();
      answer.body().discard();
      CallProtocol protocol = options.protocol();
      Optional<String> instanceId = protocol.targetId(new MessageHeaderFields(answer.headers()));
      if (answer.status() != HttpResponseStatus.OK.code() || instanceId.isEmpty()) {
        Logger.info("event=target_check_failed check={} status={}", checksSent, answer.status());
        return;
      }
      LocalTarget target =
          new LocalTarget(
              instanceId.orElseThrow(), service, address, Optional.empty(), Optional.empty());
      if (lease.adopt(target, ticker.nanos())) {
        Logger.info("event=target_found target={} check={}", instanceId.orElseThrow(), checksSent);
        onAdopted.accept(service);
      }
    }

    @Override
    public void failed(Throwable cause, boolean sent) {
      Logger.info("event=target_check_failed check={} reason=\"{}\"", checksSent, cause.toString());
    }
  }
}

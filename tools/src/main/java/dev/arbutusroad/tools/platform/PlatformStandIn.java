package dev.arbutusroad.tools.platform;

import dev.arbutusroad.core.store.CommitResult;
import dev.arbutusroad.core.store.Row;
import dev.arbutusroad.core.store.Write;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.platform.RowsJson;
import dev.arbutusroad.tools.platform.PlatformFault.Kind;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseFactory;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.netty.HttpServers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for the platform's table service and object store, for trials and tests only.
 *
 * <p>It keeps everything in memory. {@code PUT /faults} sets its faults and {@code GET /stats}
 * counts its operations; both are unaffected by faults.
 */
public final class PlatformStandIn implements AutoCloseable {
  private static final int DEFAULT_SCAN_LIMIT = 100;

  /** Interval at which a pending long poll of the change feed checks for changes. */
  private static final long FEED_POLL_INTERVAL_MILLIS = 10;

  private final PlatformStore store;
  private final ActiveFaults faults;
  private final AtomicLong reads = new AtomicLong();
  private final AtomicLong commits = new AtomicLong();
  private final AtomicLong writes = new AtomicLong();
  private final AtomicLong conflicts = new AtomicLong();
  private HttpServerContext server;

  private PlatformStandIn(Ticker ticker) {
    this.store = new PlatformStore(ticker);
    this.faults = new ActiveFaults(ticker);
  }

  /**
   * Starts a stand-in platform.
   *
   * @throws IOException if the address can't be bound
   */
  public static PlatformStandIn start(InetSocketAddress address) throws IOException {
    PlatformStandIn standIn = new PlatformStandIn(Ticker.system());
    try {
      // No handler blocks, so requests are served on the event loop.
      standIn.server =
          HttpServers.forAddress(address)
              .executionStrategy(HttpExecutionStrategies.offloadNone())
              .listenAndAwait(standIn::handle);
    } catch (Exception e) {
      throw new IOException("the stand-in platform can't listen on " + address, e);
    }
    return standIn;
  }

  /** Returns the address that the stand-in listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.listenAddress();
  }

  /** Returns the store behind the HTTP interface. */
  public PlatformStore store() {
    return store;
  }

  /** Replaces all faults, as {@code PUT /faults} does. */
  public void setFaults(List<PlatformFault> newFaults) {
    faults.set(newFaults);
  }

  /** Returns the operations served so far, as {@code GET /stats} does. */
  public PlatformStats stats() {
    return new PlatformStats(reads.get(), commits.get(), writes.get(), conflicts.get());
  }

  @Override
  public void close() throws IOException {
    try {
      server.close();
    } catch (Exception e) {
      throw new IOException("the stand-in platform failed to close", e);
    }
  }

  private Single<HttpResponse> handle(
      HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
    try {
      String path = request.rawPath();
      if (path.equals("/faults") || path.equals("/stats")) {
        return Single.succeeded(control(request, responses));
      }
      if (faults.take(Kind.DOWN).isPresent()) {
        return closeConnection(context);
      }
      if (faults.take(Kind.REFUSE).isPresent()) {
        return Single.succeeded(responses.serviceUnavailable());
      }
      if (faults.take(Kind.OVER_RATE).isPresent()) {
        return Single.succeeded(responses.tooManyRequests());
      }
      if (request.rawPath().equals(RowsJson.FEED_PATH)) {
        return changeFeed(context, request, responses);
      }
      Optional<PlatformFault> lateWrite =
          isRead(request) ? Optional.empty() : faults.take(Kind.LATE_WRITE);
      if (lateWrite.isPresent()) {
        return serveLate(context, request, responses, lateWrite.get());
      }
      HttpResponse response = serve(request, responses);
      if (!isRead(request) && faults.take(Kind.DROP_ANSWER).isPresent()) {
        return closeConnection(context);
      }
      Single<HttpResponse> answer = Single.succeeded(response);
      return faults
          .take(Kind.SLOW)
          .map(
              slow ->
                  context
                      .executionContext()
                      .executor()
                      .timer(slow.delayMillis(), TimeUnit.MILLISECONDS)
                      .concat(answer))
          .orElse(answer);
    } catch (IOException | IllegalArgumentException e) {
      return Single.succeeded(
          responses
              .badRequest()
              .payloadBody(
                  context.executionContext().bufferAllocator().fromUtf8(String.valueOf(e))));
    }
  }

  private static Single<HttpResponse> closeConnection(HttpServiceContext context) {
    return context.closeAsync().concat(Single.never());
  }

  private HttpResponse control(HttpRequest request, HttpResponseFactory responses)
      throws IOException {
    if (request.rawPath().equals("/stats")) {
      return json(responses.ok(), ControlJson.encodeStats(stats()));
    }
    setFaults(ControlJson.decodeFaults(body(request)));
    return responses.noContent();
  }

  private HttpResponse serve(HttpRequest request, HttpResponseFactory responses)
      throws IOException {
    String path = request.rawPath();
    boolean read = isRead(request);
    if (read) {
      reads.incrementAndGet();
    }
    if (path.equals(RowsJson.COMMIT_PATH) && request.method().equals(HttpRequestMethod.POST)) {
      return commit(RowsJson.decodeCommit(body(request)), responses);
    }
    if (path.equals(RowsJson.READ_PATH) && read) {
      return rows(request, responses);
    }
    if (path.startsWith(RowsJson.OBJECT_GET_PATH) || path.startsWith(RowsJson.OBJECT_PUT_PATH)) {
      return object(request, responses);
    }
    return responses.newResponse(HttpResponseStatus.METHOD_NOT_ALLOWED);
  }

  /** Delays the answer until a row of the table changes or the caller's wait time has passed. */
  private Single<HttpResponse> changeFeed(
      HttpServiceContext context, HttpRequest request, HttpResponseFactory responses) {
    if (faults.take(Kind.FORGET).isPresent()) {
      return Single.succeeded(responses.newResponse(HttpResponseStatus.GONE));
    }
    long after = Long.parseLong(request.queryParameter(RowsJson.AFTER_PARAMETER));
    long waitMillis = Long.parseLong(request.queryParameter(RowsJson.WAIT_PARAMETER));
    String prefix = RowsJson.key(request.queryParameter(RowsJson.TABLE_PARAMETER), "");
    return awaitChange(context, responses, prefix, after, waitMillis);
  }

  private Single<HttpResponse> awaitChange(
      HttpServiceContext context,
      HttpResponseFactory responses,
      String prefix,
      long after,
      long waitMillis) {
    List<Row> changed = store.changesSince(prefix, after);
    if (!changed.isEmpty() || waitMillis <= 0) {
      return Single.succeeded(json(responses.ok(), RowsJson.encodeRows(changed, store.version())));
    }
    return context
        .executionContext()
        .executor()
        .timer(FEED_POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
        .concat(
            Single.defer(
                () ->
                    awaitChange(
                        context,
                        responses,
                        prefix,
                        after,
                        waitMillis - FEED_POLL_INTERVAL_MILLIS)));
  }

  private Single<HttpResponse> serveLate(
      HttpServiceContext context,
      HttpRequest request,
      HttpResponseFactory responses,
      PlatformFault lateWrite) {
    context
        .executionContext()
        .executor()
        .timer(lateWrite.delayMillis(), TimeUnit.MILLISECONDS)
        .concat(Single.fromCallable(() -> serve(request, responses)))
        .subscribe(response -> {});
    return closeConnection(context);
  }

  private HttpResponse rows(HttpRequest request, HttpResponseFactory responses) {
    String table = request.queryParameter(RowsJson.TABLE_PARAMETER);
    String from = Optional.ofNullable(request.queryParameter(RowsJson.FROM_PARAMETER)).orElse("");
    Optional<String> to =
        Optional.ofNullable(request.queryParameter(RowsJson.TO_PARAMETER))
            .map(end -> RowsJson.key(table, end));
    int limit =
        Optional.ofNullable(request.queryParameter(RowsJson.LIMIT_PARAMETER))
            .map(Integer::valueOf)
            .orElse(DEFAULT_SCAN_LIMIT);
    return json(
        responses.ok(),
        RowsJson.encodeRows(
            store.range(RowsJson.key(table, from), to, limit, readAgeNanos()), store.version()));
  }

  private HttpResponse commit(List<Write> batch, HttpResponseFactory responses) {
    commits.incrementAndGet();
    if (!batch.isEmpty() && faults.take(Kind.SPURIOUS_CONFLICT).isPresent()) {
      return refuseCommit(List.of(batch.get(0).key()), responses, true);
    }
    CommitResult result = store.commit(batch);
    if (!result.applied()) {
      return refuseCommit(batch.stream().map(Write::key).toList(), responses, false);
    }
    writes.addAndGet(batch.size());
    return json(responses.ok(), RowsJson.encodeRows(List.of(), result.version()));
  }

  /** Answers a refused commit with the current rows, or with invented rows if it is spurious. */
  private HttpResponse refuseCommit(
      List<String> keys, HttpResponseFactory responses, boolean isSpurious) {
    conflicts.incrementAndGet();
    List<Row> current =
        isSpurious
            ? keys.stream().map(key -> new Row(key, "?", Long.MAX_VALUE)).toList()
            : keys.stream().flatMap(key -> store.get(key, 0).stream()).toList();
    return json(
        responses.newResponse(HttpResponseStatus.PRECONDITION_FAILED),
        RowsJson.encodeConflict(current));
  }

  private HttpResponse object(HttpRequest request, HttpResponseFactory responses) {
    String path = request.rawPath();
    String name = RowsJson.decodeSegment(path.substring(path.indexOf('/', 1) + 1));
    if (isRead(request)) {
      return store
          .object(name)
          .map(content -> json(responses.ok(), content))
          .orElseGet(responses::notFound);
    }
    writes.incrementAndGet();
    store.putObject(name, body(request));
    return responses.ok();
  }

  private long readAgeNanos() {
    return faults
        .take(Kind.OLD_READS)
        .map(fault -> TimeUnit.MILLISECONDS.toNanos(fault.delayMillis()))
        .orElse(0L);
  }

  private static boolean isRead(HttpRequest request) {
    return request.method().equals(HttpRequestMethod.GET);
  }

  private HttpResponse json(HttpResponse response, byte[] body) {
    return response.payloadBody(server.executionContext().bufferAllocator().wrap(body));
  }

  private static byte[] body(HttpRequest request) {
    byte[] bytes = new byte[request.payloadBody().readableBytes()];
    request.payloadBody().readBytes(bytes);
    return bytes;
  }
}

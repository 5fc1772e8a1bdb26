package dev.arbutusroad.tools.target;

import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.tools.http.HttpEndpoints;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Executor;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.api.StreamingHttpClient;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A running stand-in for a target. */
public final class TargetStandIn implements AutoCloseable {
  private static final int LEAVE_TIMEOUT_SECONDS = 5;

  private final Closer closer = new Closer();
  private final TargetState state;
  private final HttpServerContext calls;
  private final HttpServerContext control;
  private final Optional<Announcer> announcer;
  private volatile Optional<Cancellable> announcements = Optional.empty();

  private TargetStandIn(TargetOptions options) throws IOException {
    Ticker ticker = Ticker.system();
    state = new TargetState(options, ticker);
    Optional<StreamingHttpClient> exit =
        options.exit().map(address -> closer.register(HttpEndpoints.client(address)));
    ChildCalls childCalls = new ChildCalls(exit, options.service(), options.children());
    calls =
        closer.register(
            HttpEndpoints.serve(options.listen(), new CallService(state, childCalls, ticker)));
    control = closer.register(HttpEndpoints.serve(options.control(), new ControlService(state)));
    announcer = exit.map(client -> new Announcer(client, options.service(), address()));
    Executor executor = calls.executionContext().ioExecutor();
    Cancellable sampling =
        repeat(
            executor, LoadReadings.SAMPLE_INTERVAL_MILLIS, Completable.fromRunnable(state::sample));
    closer.register(sampling::cancel);
    announcements =
        announcer.map(
            current ->
                repeat(executor, Announcer.INTERVAL_MILLIS, Completable.defer(current::announce)));
    closer.register(this::stopAnnouncing);
  }

  /**
   * Starts a stand-in target and its announcements.
   *
   * @throws IOException if an address can't be bound
   */
  public static TargetStandIn start(TargetOptions options) throws IOException {
    return new TargetStandIn(options);
  }

  /** Returns the address for calls. */
  public InetSocketAddress address() {
    return (InetSocketAddress) calls.listenAddress();
  }

  /** Returns the address of the control endpoint. */
  public InetSocketAddress controlAddress() {
    return (InetSocketAddress) control.listenAddress();
  }

  /** Returns the number of calls that have started to run. */
  public long runs() {
    return state.runs().total();
  }

  /** Returns the number of runs of each order key. */
  public Map<String, Integer> runsByOrderKey() {
    return state.runs().byOrderKey();
  }

  /** Returns the current behaviour. */
  public TargetBehaviour behaviour() {
    return state.behaviour();
  }

  /** Changes the behaviour as {@code PUT /control} does. */
  public void change(TargetBehaviour behaviour) {
    state.change(behaviour);
  }

  /**
   * Stops the announcements and tells the node that the target leaves; calls are still served.
   *
   * @throws IOException if the node does not confirm it within 5 s
   */
  public void leave() throws IOException {
    stopAnnouncing();
    if (announcer.isEmpty()) {
      return;
    }
    try {
      announcer.get().leave().toFuture().get(LEAVE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while leaving", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("the node does not confirm that the target leaves", e);
    }
  }

  /** Stops the announcements without notice to the node, as if the target had died. */
  public void stopAnnouncing() {
    announcements.ifPresent(Cancellable::cancel);
    announcements = Optional.empty();
  }

  /** Closes the listeners and aborts calls in progress. */
  @Override
  public void close() throws IOException {
    closer.close();
  }

  private static Cancellable repeat(Executor executor, int intervalMillis, Completable action) {
    return action
        .concat(executor.timer(intervalMillis, TimeUnit.MILLISECONDS))
        .repeat(count -> true)
        .ignoreElements()
        .subscribe();
  }
}

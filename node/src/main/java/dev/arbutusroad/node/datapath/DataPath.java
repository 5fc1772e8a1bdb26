package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.config.PolicyResolver;
import dev.arbutusroad.core.edge.TargetReport;
import dev.arbutusroad.core.fatal.FatalEntry;
import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.membership.MemberView;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.retry.RetryAdvice;
import dev.arbutusroad.core.routing.TargetTable;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.node.claim.Claims;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpHeaderValues;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/** The data path of one node: its gate, its exit and the state that they share. */
public final class DataPath implements AutoCloseable {
  private final EventLoopGuard guard = new EventLoopGuard();
  private final TargetLease lease;
  private final Answers answers;
  private final DataPathOptions options;
  private final CallTracker tracker = new CallTracker();
  private final ClientAbort abort;
  private final Ticker ticker;
  private final TargetListener listener;
  private final ContextCodec codec;
  private final HttpConnections connections;
  private final TargetTable targets;
  private final InboundCalls inbound;
  private final OverloadControl overload;
  private final Gate gate;
  private final Exit exit;
  private final NewerPolicy newerPolicy;
  private final NodeDuties duties;
  private volatile boolean draining;

  /**
   * Creates the data path.
   *
   * @param policies the configuration in force, empty while there is none
   * @param members the newest member view
   * @param duties the node's other duties
   * @param claims claims unrepeatable orders before they run
   */
  public DataPath(
      DataPathOptions options,
      Supplier<Optional<PolicyResolver>> policies,
      Supplier<MemberView> members,
      TargetListener listener,
      NodeDuties duties,
      Claims claims,
      Ticker ticker) {
    this.options = options;
    this.ticker = ticker;
    this.listener = listener;
    this.duties = duties;
    SecureRandom tokens = new SecureRandom();
    SplittableRandom random = new SplittableRandom(tokens.nextLong());
    answers = new Answers(options.protocol(), new RetryAdvice(random.split()));
    CallLog log = new CallLog(options.log(), ticker);
    lease = new TargetLease(options.targetLeaseMillis());
    abort = new ClientAbort(answers);
    codec = new ContextCodec(options.sharedSecret());
    connections = new HttpConnections(ticker);
    targets =
        new TargetTable(options.region(), options.failureDomain(), random.split(), ticker.nanos());
    inbound = new InboundCalls(tokens);
    Hop hop = new Hop(connections, ticker);
    overload = new OverloadControl(ticker, random.split(), () -> members.get().all().size());
    gate =
        new Gate(
            lease,
            inbound,
            hop,
            new OrderRuns(claims, ticker, answers),
            ticker,
            this::targetLost,
            overload.admission(),
            answers,
            options.protocol(),
            log);
    exit =
        new Exit(
            policies,
            members,
            targets,
            hop,
            codec,
            ticker,
            random.split(),
            overload,
            duties,
            answers,
            log);
    newerPolicy = new NewerPolicy(policies, duties);
  }

  /** Handles a request on the caller listener: from another node, or from a client. */
  public Single<StreamingHttpResponse> handleCaller(
      HttpServiceContext connection,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory factory) {
    guard.check();
    Single<StreamingHttpResponse> answer =
        abort.watch(connection, request, factory, () -> caller(request, factory));
    return draining ? answer.map(DataPath::withNotice) : answer;
  }

  private Single<StreamingHttpResponse> caller(
      StreamingHttpRequest request, StreamingHttpResponseFactory factory) {
    ReceivedCall call = ReceivedCall.of(request, factory, options.protocol());
    HopByHopHeaders.remove(request.headers());
    Optional<CallContext> context = call.context().flatMap(codec::decode);
    if (duties.isMemberViewStale()) {
      return Single.succeeded(paused(factory, context));
    }
    if (context.isPresent()) {
      return tracker.track(gate.handle(call, newerPolicy.apply(call, context.orElseThrow())));
    }
    return tracker.track(exit.handle(call, CallAttributes.EXTERNAL, true, Optional.empty()));
  }

  /** Tells a client that this node stops: a connection that it opens later may be reset. */
  private static StreamingHttpResponse withNotice(StreamingHttpResponse response) {
    response.headers().set(ArbutusHeaders.LEAVING, "true");
    return response;
  }

  /** The answer of a node that was paused: it does not know who has taken over from it. */
  private StreamingHttpResponse paused(
      StreamingHttpResponseFactory factory, Optional<CallContext> context) {
    Failure failure = new Failure(ResultCode.NOT_READY, "the node was paused and rejoins");
    StreamingHttpResponse response = answers.failure(factory, failure);
    context.ifPresent(
        from -> response.headers().set(ArbutusHeaders.UNUSED, Integer.toString(from.grant())));
    return response;
  }

  /** Makes the answers of this node. */
  Answers answers() {
    return answers;
  }

  /** Handles a call that the local target makes. */
  public Single<StreamingHttpResponse> handleExit(
      HttpServiceContext connection,
      StreamingHttpRequest request,
      StreamingHttpResponseFactory factory) {
    guard.check();
    Single<StreamingHttpResponse> answer =
        abort.watch(connection, request, factory, () -> exit(request, factory));
    return draining ? answer.map(DataPath::closing) : answer;
  }

  /** Has the caller open another connection, which it will do at another node. */
  private static StreamingHttpResponse closing(StreamingHttpResponse response) {
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return response;
  }

  private Single<StreamingHttpResponse> exit(
      StreamingHttpRequest request, StreamingHttpResponseFactory factory) {
    ReceivedCall call = ReceivedCall.of(request, factory, options.protocol());
    HopByHopHeaders.remove(request.headers());
    if (!options.protocol().passesTokens()) {
      String caller = options.callerService().orElse(CallAttributes.EXTERNAL);
      Optional<InboundCall> served = call.token().flatMap(inbound::find);
      return tracker.track(exit.handle(call, caller, true, served));
    }
    Optional<LocalTarget> target = lease.target();
    if (target.isEmpty()) {
      Failure failure = new Failure(ResultCode.NOT_READY, "announce the target before calling");
      return Single.succeeded(answers.failure(factory, failure));
    }
    Optional<InboundCall> parent = call.token().flatMap(inbound::find);
    return tracker.track(exit.handle(call, target.orElseThrow().service(), false, parent));
  }

  /** The local target announces itself or renews its announcement. */
  public void announce(LocalTarget target) {
    guard.check();
    if (lease.announce(target, ticker.nanos())) {
      listener.serving(target.service());
    }
  }

  /** Takes in a report of the local target. */
  public void report(TargetReport report) {
    guard.check();
    switch (lease.report(report, ticker.nanos())) {
      case SERVING -> {
        overload.announceSlots(report.slots());
        listener.serving(report.service());
      }
      case LEAVING -> listener.leaving();
      case UNCHANGED -> overload.announceSlots(report.slots());
      case OUTDATED -> {}
    }
  }

  /** The target of this id leaves without having reported so. */
  public void left(String instance) {
    guard.check();
    if (lease.left(instance)) {
      listener.leaving();
    }
  }

  /** The local target leaves: no new calls, those in progress finish. */
  public void leave() {
    guard.check();
    lease.leave();
    listener.leaving();
  }

  /** The node leaves: the gate refuses every later call, those in progress finish. */
  public void drain() {
    guard.check();
    draining = true;
    gate.close();
    abort.drain();
  }

  /** Whether the node has been told to leave. */
  public boolean isDraining() {
    return draining;
  }

  /** Calls received and not answered to the last byte. */
  public int callsInProgress() {
    guard.check();
    return tracker.inProgress();
  }

  /** Ends what has expired; to be called every few milliseconds. */
  public void tick() {
    guard.check();
    connections.closeIdle();
    if (lease.expire(ticker.nanos())) {
      targetLost();
    }
    overload.tick();
  }

  private void targetLost() {
    overload.targetDied();
    listener.lost();
  }

  /** Takes in what other nodes know of requests that crash targets. */
  public void mergeFatal(List<FatalEntry> entries) {
    guard.check();
    overload.mergeFatal(entries);
  }

  /** Takes what other nodes have to know of requests that crash targets; call after a tick. */
  public List<FatalEntry> takeFatalChanges() {
    guard.check();
    return overload.takeFatalChanges();
  }

  /** Registers the metrics of the data path, which any thread may read. */
  public void register(PrometheusRegistry registry) {
    OverloadMetrics.register(registry, overload::published);
  }

  /** The state for a dump. */
  public DataPathState state() {
    guard.check();
    return new DataPathState(
        lease.target().map(LocalTarget::service).orElse(""),
        lease.isLeaving(),
        tracker.inProgress(),
        tracker.started(),
        tracker.cut(),
        inbound.size(),
        connections.size(),
        targets.dump(ticker.nanos()),
        overload.state());
  }

  @Override
  public void close() {
    connections.close();
  }
}

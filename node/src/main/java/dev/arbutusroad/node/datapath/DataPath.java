package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.config.PolicyResolver;
import dev.arbutusroad.core.edge.TargetReport;
import dev.arbutusroad.core.fatal.FatalEntry;
import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.membership.MemberView;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.retry.RetryAdvice;
import dev.arbutusroad.core.routing.TargetSelector;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.EventLoopThread;
import dev.arbutusroad.http.Exchange;
import dev.arbutusroad.http.HttpConnections;
import dev.arbutusroad.node.claim.Claims;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/** The data path of one node: its gate, its exit and the state that they share. */
public final class DataPath implements AutoCloseable {
  private final EventLoopThread thread;
  private final TargetLease lease;
  private final TargetSearch search;
  private final Answers answers;
  private final DataPathOptions options;
  private final CallTracker tracker = new CallTracker();
  private final Ticker ticker;
  private final TargetListener listener;
  private final ContextCodec codec;
  private final HttpConnections connections;
  private final TargetSelector targets;
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
   * @param thread owns the state of the data path
   * @param policies the configuration in force, empty while there is none
   * @param members the newest member view
   * @param duties the node's other duties
   * @param claims claims unrepeatable orders before they run
   */
  public DataPath(
      EventLoopThread thread,
      DataPathOptions options,
      Supplier<Optional<PolicyResolver>> policies,
      Supplier<MemberView> members,
      TargetListener listener,
      NodeDuties duties,
      Claims claims,
      Ticker ticker) {
    this.thread = thread;
    this.options = options;
    this.ticker = ticker;
    this.listener = listener;
    this.duties = duties;
    SecureRandom tokens = new SecureRandom();
    SplittableRandom random = new SplittableRandom(tokens.nextLong());
    answers = new Answers(options.protocol(), new RetryAdvice(random.split()));
    CallLog log = new CallLog(options.log(), ticker);
    lease = new TargetLease(options.limits().targetLeaseMillis());
    codec = new ContextCodec(options.sharedSecret());
    connections =
        new HttpConnections(thread, ticker, (int) options.limits().connectTimeoutMillis());
    targets =
        new TargetSelector(
            options.region(), options.failureDomain(), random.split(), ticker.nanos());
    inbound = new InboundCalls(tokens);
    Hop hop = new Hop(connections);
    overload = new OverloadControl(ticker, random.split(), members, options.limits().queueLimit());
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
    search = new TargetSearch(options, lease, connections, policies, listener, ticker);
  }

  /** Handles a request on the caller listener: from another node, or from a client. */
  public void handleCaller(Exchange exchange) {
    thread.check();
    ReceivedCall call = ReceivedCall.of(exchange, options.protocol());
    Optional<CallContext> context =
        call.context().isPresent() ? codec.decode(call.context().orElseThrow()) : Optional.empty();
    Exchange noticed = draining ? new AnnotatedExchange(exchange, DataPath::addNotice) : exchange;
    if (duties.isMemberViewStale()) {
      noticed.answer(paused(context));
      return;
    }
    tracker.track(exchange);
    ReceivedCall noticedCall = call.on(noticed);
    if (context.isPresent()) {
      gate.handle(noticedCall, newerPolicy.apply(call, context.orElseThrow()));
    } else {
      exit.handle(noticedCall, CallAttributes.EXTERNAL, true, Optional.empty());
    }
  }

  /** Tells a client that this node stops: a connection that it opens later may be reset. */
  private static void addNotice(Answer answer) {
    answer.headers().set(ArbutusHeaders.LEAVING, "true");
  }

  /** The answer of a node that was paused: it does not know who has taken over from it. */
  private Answer paused(Optional<CallContext> context) {
    Answer answer =
        answers.failure(new Failure(ResultCode.NOT_READY, "the node was paused and rejoins"));
    context.ifPresent(
        from -> answer.headers().set(ArbutusHeaders.UNUSED, Integer.toString(from.grant())));
    return answer;
  }

  /** Makes the answers of this node. */
  Answers answers() {
    return answers;
  }

  /** Handles a call that the local target makes, or a client where those use the exit. */
  public void handleExit(Exchange exchange) {
    thread.check();
    Exchange closing = draining ? new AnnotatedExchange(exchange, DataPath::addClose) : exchange;
    ReceivedCall call = ReceivedCall.of(closing, options.protocol());
    Optional<InboundCall> parent =
        call.token().isPresent() ? inbound.find(call.token().orElseThrow()) : Optional.empty();
    if (!options.protocol().passesTokens()) {
      tracker.track(exchange);
      exit.handle(call, options.callerService().orElse(CallAttributes.EXTERNAL), true, parent);
      return;
    }
    Optional<LocalTarget> target = lease.target();
    if (target.isEmpty()) {
      closing.answer(
          answers.failure(new Failure(ResultCode.NOT_READY, "announce the target before calling")));
      return;
    }
    tracker.track(exchange);
    exit.handle(call, target.orElseThrow().service(), false, parent);
  }

  /** Has the caller open another connection, which it will do at another node. */
  private static void addClose(Answer answer) {
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
  }

  /** The local target announces itself or renews its announcement. */
  public void announce(LocalTarget target) {
    thread.check();
    if (lease.announce(target, ticker.nanos())) {
      listener.serving(target.service());
    }
  }

  /** Takes in a report of the local target. */
  public void report(TargetReport report) {
    thread.check();
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
    thread.check();
    if (lease.left(instance)) {
      listener.leaving();
    }
  }

  /** The local target leaves: no new calls, those in progress finish. */
  public void leave() {
    thread.check();
    lease.leave();
    listener.leaving();
  }

  /** The node leaves soon: callers are told so, and calls are still taken. */
  public void announceLeaving() {
    thread.check();
    draining = true;
  }

  /** The node leaves now: the gate refuses every later call, those in progress finish. */
  public void drain() {
    thread.check();
    draining = true;
    gate.close();
  }

  /** Whether the node has been told to leave. */
  public boolean isDraining() {
    return draining;
  }

  /** Calls received and not answered to the last byte. */
  public int callsInProgress() {
    thread.check();
    return tracker.inProgress();
  }

  /** Ends what has expired; to be called every few milliseconds. */
  public void tick() {
    thread.check();
    connections.closeIdle();
    search.tick();
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
    thread.check();
    overload.mergeFatal(entries);
  }

  /** Takes what other nodes have to know of requests that crash targets; call after a tick. */
  public List<FatalEntry> takeFatalChanges() {
    thread.check();
    return overload.takeFatalChanges();
  }

  /** Registers the metrics of the data path, which any thread may read. */
  public void register(PrometheusRegistry registry) {
    OverloadMetrics.register(registry, overload::published);
  }

  /** The state for a dump. */
  public DataPathState state() {
    thread.check();
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
    thread.loop().execute(connections::close);
  }
}

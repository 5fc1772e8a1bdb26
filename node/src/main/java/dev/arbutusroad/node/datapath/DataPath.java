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
import java.net.SocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/** The data path of one node: the gate, the exit and the state that they share. */
public final class DataPath implements AutoCloseable {
  private final EventLoopThread thread;
  private final TargetLease lease;
  private final TargetSearch search;
  private final Answers answers;
  private final CallLog log;
  private final DataPathOptions options;
  private final CallTracker tracker = new CallTracker();
  private final Ticker ticker;
  private final TargetListener listener;
  private final TargetReports reports;
  private final ContextCodec codec;
  private final HttpConnections connections;
  private final TargetSelector targets;
  private final InboundCalls inbound;
  private final OverloadControl overload;
  private final Gate gate;
  private final Exit exit;
  private final CallReclassifier callReclassifier;
  private final NodeContext nodeContext;
  private volatile boolean draining;

  /**
   * Creates the data path.
   *
   * @param thread the event loop to which the data path is confined
   * @param policies supplies the configuration in force, empty while there is none
   * @param members supplies the latest member view
   * @param nodeContext state and callbacks of the rest of the node
   * @param claims claims unrepeatable orders before they run
   * @param departures keeps the departures of the local target
   * @param startedMillis the start of the node's process, by the clock of the host
   */
  public DataPath(
      EventLoopThread thread,
      DataPathOptions options,
      Supplier<Optional<PolicyResolver>> policies,
      Supplier<MemberView> members,
      TargetListener listener,
      NodeContext nodeContext,
      Claims claims,
      DepartureLog departures,
      long startedMillis,
      Ticker ticker) {
    this.thread = thread;
    this.options = options;
    this.ticker = ticker;
    this.listener = listener;
    this.nodeContext = nodeContext;
    SecureRandom tokens = new SecureRandom();
    SplittableRandom random = new SplittableRandom(tokens.nextLong());
    answers = new Answers(options.protocol(), new RetryAdvice(random.split()));
    log = new CallLog(options.log(), ticker);
    lease = new TargetLease(options.limits().targetLeaseMillis(), startedMillis);
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
            new ClaimedOrderRunner(claims, ticker, answers),
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
            nodeContext,
            answers,
            log);
    callReclassifier = new CallReclassifier(policies, nodeContext);
    reports =
        new TargetReports(
            thread, lease, departures, overload, listener, ticker, options.callerService());
    search = new TargetSearch(options, lease, connections, policies, reports::adopted, ticker);
  }

  /** Handles a request on the caller listener, from another node or from a client. */
  public void handleCaller(Exchange exchange) {
    thread.checkInEventLoop();
    ReceivedCall call = ReceivedCall.of(exchange, options.protocol());
    Optional<CallContext> context =
        call.context().isPresent() ? codec.decode(call.context().orElseThrow()) : Optional.empty();
    Exchange annotated =
        draining ? new AnnotatedExchange(exchange, DataPath::addLeavingHeader) : exchange;
    if (nodeContext.isMemberViewStale()) {
      annotated.answer(staleViewAnswer(context));
      return;
    }
    tracker.track(exchange);
    ReceivedCall annotatedCall = call.withExchange(annotated);
    if (context.isPresent()) {
      gate.handle(annotatedCall, callReclassifier.reclassify(call, context.orElseThrow()));
    } else {
      exit.handle(annotatedCall, CallAttributes.EXTERNAL, true, Optional.empty());
    }
  }

  /** Logs that a listener has refused a request because its head is malformed. */
  public void requestRefused(SocketAddress caller, String reason) {
    thread.checkInEventLoop();
    log.malformedRequest(caller.toString(), reason);
  }

  /** Tells a client that this node stops: connections that it opens later may be reset. */
  private static void addLeavingHeader(Answer answer) {
    answer.headers().set(ArbutusHeaders.LEAVING, "true");
  }

  /**
   * Returns the answer of a node that was paused: its member view is outdated, so other nodes may
   * have taken over from it.
   */
  private Answer staleViewAnswer(Optional<CallContext> context) {
    Answer answer =
        answers.failure(
            new Failure(ResultCode.NOT_READY, "the node was paused and has not rejoined yet"));
    context.ifPresent(
        received ->
            answer.headers().set(ArbutusHeaders.UNUSED, Integer.toString(received.grant())));
    return answer;
  }

  /** Returns the factory of the answers that this node makes itself. */
  Answers answers() {
    return answers;
  }

  /** Handles a call on the exit listener, from the local target or from a client. */
  public void handleExit(Exchange exchange) {
    thread.checkInEventLoop();
    Exchange annotated =
        draining ? new AnnotatedExchange(exchange, DataPath::addConnectionClose) : exchange;
    ReceivedCall call = ReceivedCall.of(annotated, options.protocol());
    Optional<InboundCall> parent =
        call.token().isPresent() ? inbound.find(call.token().orElseThrow()) : Optional.empty();
    if (!options.protocol().propagatesTokens()) {
      tracker.track(exchange);
      exit.handle(call, options.callerService().orElse(CallAttributes.EXTERNAL), true, parent);
      return;
    }
    Optional<LocalTarget> target = lease.target();
    if (target.isEmpty()) {
      annotated.answer(
          answers.failure(new Failure(ResultCode.NOT_READY, "announce the target before calling")));
      return;
    }
    tracker.track(exchange);
    exit.handle(call, target.orElseThrow().service(), false, parent);
  }

  /** Makes the caller reconnect, which it will do to another node. */
  private static void addConnectionClose(Answer answer) {
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
  }

  /** Registers the local target, or renews its lease. */
  public void announce(LocalTarget target) {
    thread.checkInEventLoop();
    if (lease.announce(target, ticker.nanos())) {
      listener.serving(target.service());
    }
  }

  /** Returns why a report can't be that of the local target; empty if it can. */
  Optional<Failure> rejection(TargetReport report) {
    return reports.rejection(report);
  }

  /**
   * Applies a state report of the local target.
   *
   * @param acknowledge sends the acknowledgement, once the report is binding
   */
  public void report(TargetReport report, Runnable acknowledge) {
    thread.checkInEventLoop();
    if (reports.report(report, acknowledge)) {
      search.restart();
    }
  }

  /**
   * Marks the target with this id as leaving; for a target that did not report it.
   *
   * @param acknowledge sends the acknowledgement, once the departure is binding
   */
  public void left(String instance, Runnable acknowledge) {
    thread.checkInEventLoop();
    reports.left(instance, acknowledge);
  }

  /** Marks the local target as leaving: it gets no new calls, those in progress finish. */
  public void leave() {
    thread.checkInEventLoop();
    lease.markLeaving();
    listener.leaving();
  }

  /** Starts a graceful shutdown: answers announce that the node leaves, calls are still taken. */
  public void announceLeaving() {
    thread.checkInEventLoop();
    draining = true;
  }

  /** Drains the node: the gate refuses every later call, those in progress finish. */
  public void drain() {
    thread.checkInEventLoop();
    draining = true;
    gate.close();
  }

  /** Returns whether the node is shutting down; may be called by any thread. */
  public boolean isDraining() {
    return draining;
  }

  /** Returns the number of calls received and not yet answered to the last byte. */
  public int callsInProgress() {
    thread.checkInEventLoop();
    return tracker.inProgress();
  }

  /**
   * Expires idle connections, queued calls and the target lease; call it every few milliseconds.
   */
  public void tick() {
    thread.checkInEventLoop();
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

  /** Merges the entries of other nodes about requests that crash targets. */
  public void mergeFatal(List<FatalEntry> entries) {
    thread.checkInEventLoop();
    overload.mergeFatal(entries);
  }

  /** Removes and returns the changed entries to send to other nodes; call it after a tick. */
  public List<FatalEntry> takeFatalChanges() {
    thread.checkInEventLoop();
    return overload.takeFatalChanges();
  }

  /** Registers the metrics of the data path, which any thread may read. */
  public void register(PrometheusRegistry registry) {
    OverloadMetrics.register(registry, overload::published);
  }

  /** Returns the state for a dump. */
  public DataPathState state() {
    thread.checkInEventLoop();
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

package dev.arbutusroad.node.process;

import dev.arbutusroad.core.config.ConfigurationHolder;
import dev.arbutusroad.core.config.PolicyResolver;
import dev.arbutusroad.core.config.PollInterval;
import dev.arbutusroad.core.edge.AnnouncementProtocol;
import dev.arbutusroad.core.edge.Deployment;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberState;
import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.settings.Limits;
import dev.arbutusroad.core.settings.NodeSettings;
import dev.arbutusroad.core.store.PlatformClientSettings;
import dev.arbutusroad.core.store.PlatformServices;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.http.EventLoopThread;
import dev.arbutusroad.http.ExchangeHandler;
import dev.arbutusroad.http.HttpListener;
import dev.arbutusroad.node.admin.AdminService;
import dev.arbutusroad.node.admin.ReadinessService;
import dev.arbutusroad.node.claim.ClaimsAgent;
import dev.arbutusroad.node.claim.ClaimsIdentity;
import dev.arbutusroad.node.claim.ClaimsMetrics;
import dev.arbutusroad.node.configuration.ConfigurationAgent;
import dev.arbutusroad.node.configuration.ConfigurationMetrics;
import dev.arbutusroad.node.configuration.ConfigurationWatch;
import dev.arbutusroad.node.datapath.AnnouncementService;
import dev.arbutusroad.node.datapath.DataPath;
import dev.arbutusroad.node.datapath.DataPathOptions;
import dev.arbutusroad.node.datapath.DepartureLog;
import dev.arbutusroad.node.datapath.ExitService;
import dev.arbutusroad.node.datapath.TableDepartureLog;
import dev.arbutusroad.node.log.LineLog;
import dev.arbutusroad.node.membership.MembershipAgent;
import dev.arbutusroad.node.membership.MembershipMetrics;
import dev.arbutusroad.node.membership.MembershipOptions;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tinylog.Logger;

/** A running node: starts the agents, data path and listeners and stops them in order. */
public final class NodeProcess implements AutoCloseable {
  /** Calls that expire in the queue are removed from it within this time. */
  private static final long BUSY_TICK_INTERVAL_MILLIS = 20;

  /** Without calls, only the target's lease can expire, and leases last for seconds. */
  private static final long IDLE_TICK_INTERVAL_MILLIS = 100;

  /**
   * Callers on the host are redirected after two failed readiness checks, which are made once a
   * second. Until then the node admits calls to its target, which is still running.
   */
  private static final long CALLER_REDIRECTION_MILLIS = 1_600;

  /** Time for the leaving state to reach the other nodes, with gossip rounds of 200 ms. */
  private static final long LEAVE_DISSEMINATION_MILLIS = 700;

  /** Reserved for the end of the process, because the platform kills it at the drain limit. */
  private static final long PROCESS_END_MARGIN_MILLIS = 500;

  private final NodeSettings settings;
  private final Deployment deployment;
  private final Closer closer = new Closer();
  private final Ticker ticker = Ticker.system();
  private final PrometheusRegistry metrics = new PrometheusRegistry();
  private final LineLog log = closer.register(LineLog.start(System.out));
  private final EventLoopThread eventLoop = closer.register(EventLoopThread.start("data-path"));
  private final EventLoopThread controlLoop = closer.register(EventLoopThread.start("control"));
  private final PlatformServices platform;
  private final MembershipAgent membership;
  private final ConfigurationAgent configuration;
  private final ClaimsAgent claims;
  private final DataPath dataPath;
  private final HttpListener callerListener;
  private final HttpListener exitListener;
  private final Optional<HttpListener> announcementListener;
  private final long startedMillis = System.currentTimeMillis();
  private volatile Limits limits;
  private volatile boolean closed;

  private NodeProcess(NodeSettings settings, Deployment deployment) throws IOException {
    this.settings = settings;
    this.limits = settings.limits();
    this.deployment = deployment;
    platform =
        closer.register(
            deployment.open(
                settings.platform(),
                PlatformClientSettings.DEFAULT.withOperationTimeoutMillis(
                    settings.limits().platformTimeoutMillis()),
                new PlatformMetricsExport(metrics),
                ticker));
    membership = closer.register(startMembership());
    configuration = closer.register(createConfiguration());
    membership.connectConfiguration(configuration, configuration);
    ConfigurationMetrics.register(configuration, metrics);
    MembershipMetrics.register(membership, metrics);
    claims =
        closer.register(
            ClaimsAgent.start(
                new ClaimsIdentity(membership.self().id(), membership.self().incarnation()),
                platform,
                ticker));
    ClaimsMetrics.register(claims, metrics);
    dataPath = closer.register(createDataPath());
    callerListener =
        HttpListener.start(
            eventLoop,
            settings.listeners().caller(),
            dataPath::handleCaller,
            dataPath::requestRefused);
    ExchangeHandler exitService =
        deployment.announcements().isPresent() ? dataPath::handleExit : new ExitService(dataPath);
    exitListener =
        HttpListener.start(
            eventLoop, settings.listeners().exit(), exitService, dataPath::requestRefused);
    announcementListener = startAnnouncementListener();
    if (settings.listeners().readiness().isPresent()) {
      HttpListener.start(
          controlLoop,
          settings.listeners().readiness().orElseThrow(),
          new ReadinessService(this::isReady));
    }
    NodeAdminSource adminSource =
        new NodeAdminSource(
            settings.id(),
            configuration,
            membership,
            () -> eventLoop.call(dataPath::state),
            claims);
    HttpListener.start(
        controlLoop, settings.listeners().admin(), new AdminService(adminSource, metrics));
    dataPath.register(metrics);
    membership.addFingerprintListener(
        report ->
            eventLoop
                .loop()
                .execute(() -> dataPath.mergeFatal(List.of(FatalEntryConverter.toEntry(report)))));
    configuration.start();
    deployment.configurationTable().ifPresent(this::watchConfiguration);
    eventLoop.loop().execute(this::scheduleTick);
  }

  /**
   * Starts a node.
   *
   * @throws IOException if an address cannot be bound
   */
  public static NodeProcess start(NodeSettings settings, Deployment deployment) throws IOException {
    NodeProcess node = new NodeProcess(settings, deployment);
    Logger.info(
        "event=node_started node={} caller={} exit={} admin={}",
        settings.id(),
        Addresses.format(node.callerListener.address()),
        Addresses.format(node.exitListener.address()),
        Addresses.format(settings.listeners().admin()));
    return node;
  }

  /**
   * Drains the node for a graceful shutdown: informs the callers and then the other nodes, refuses
   * new calls and waits for the calls in progress, at most until the drain limit of the settings.
   */
  public void drain() {
    long deadlineNanos =
        ticker.nanos()
            + TimeUnit.MILLISECONDS.toNanos(limits.drainLimitMillis() - PROCESS_END_MARGIN_MILLIS);
    Logger.info("event=drain_started node={}", settings.id());
    eventLoop.loop().execute(dataPath::announceLeaving);
    sleep(CALLER_REDIRECTION_MILLIS);
    membership.leave();
    sleep(LEAVE_DISSEMINATION_MILLIS);
    eventLoop.loop().execute(dataPath::drain);
    Future<Void> allClosed =
        CompletableFuture.allOf(callerListener.closeGracefully(), exitListener.closeGracefully());
    awaitClosed(allClosed, deadlineNanos - ticker.nanos());
    Logger.info("event=drain_ended node={} calls_cut={}", settings.id(), callsInProgress());
  }

  /** Waits for all connections to close, which happens after the last byte of each answer. */
  private static void awaitClosed(Future<Void> allClosed, long timeoutNanos) {
    try {
      allClosed.get(Math.max(0, timeoutNanos), TimeUnit.NANOSECONDS);
    } catch (ExecutionException | TimeoutException e) {
      Logger.warn("event=connections_not_closed reason=\"{}\"", e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Applies the limits of new settings. Other changes require a restart. */
  public void reload(NodeSettings newSettings) {
    boolean limitsChanged = !newSettings.limits().equals(limits);
    boolean restartNeeded =
        !newSettings.listeners().equals(settings.listeners())
            || !newSettings.platform().equals(settings.platform())
            || !newSettings.id().equals(settings.id());
    limits = newSettings.limits();
    Logger.info(
        "event=settings_reloaded node={} limits_changed={} restart_needed={}",
        settings.id(),
        limitsChanged,
        restartNeeded);
  }

  /** Returns the number of calls whose answer has not been sent to its last byte. */
  public int callsInProgress() {
    return eventLoop.call(dataPath::callsInProgress);
  }

  @Override
  public void close() throws IOException {
    closed = true;
    callerListener.close();
    exitListener.close();
    announcementListener.ifPresent(HttpListener::close);
    closer.close();
  }

  private Optional<HttpListener> startAnnouncementListener() throws IOException {
    Optional<InetSocketAddress> address = settings.listeners().announcements();
    Optional<AnnouncementProtocol> protocol = deployment.announcements();
    return address.isPresent() && protocol.isPresent()
        ? Optional.of(
            HttpListener.start(
                eventLoop,
                address.orElseThrow(),
                new AnnouncementService(dataPath, protocol.orElseThrow()),
                dataPath::requestRefused))
        : Optional.empty();
  }

  private void watchConfiguration(String table) {
    closer.register(new ConfigurationWatch(platform, table, configuration::requestPoll)).start();
  }

  /**
   * Returns whether the node takes new callers: it has a configuration, is not draining and its
   * member view is up to date.
   */
  private boolean isReady() {
    return configuration.isReady() && !dataPath.isDraining() && !membership.isStale();
  }

  private MembershipAgent startMembership() throws IOException {
    String incarnationId = settings.id() + "-" + Long.toHexString(new SecureRandom().nextLong());
    Member self =
        new Member(
            incarnationId,
            1,
            "",
            settings.region(),
            settings.failureDomain(),
            settings.advertisedCaller(),
            settings.advertisedPeer(),
            MemberState.JOINING,
            0);
    return MembershipAgent.start(
        new MembershipOptions(
            self,
            settings.listeners().peer(),
            settings.seeds(),
            settings.sharedSecret(),
            Optional.of(platform)));
  }

  private ConfigurationAgent createConfiguration() {
    SecureRandom random = new SecureRandom();
    return new ConfigurationAgent(
        new ConfigurationHolder(),
        deployment.versions(platform, random),
        membership::fetchDocument,
        ticker,
        random,
        deployment.configurationTable().isPresent()
            ? PollInterval.MIN_NANOS_WITH_FEED
            : PollInterval.MIN_NANOS,
        () -> membership.view().all().size(),
        adopted -> {});
  }

  /** Returns the rules in force, or empty until the node may serve calls with them. */
  private Optional<PolicyResolver> policies() {
    return configuration.isReady()
        ? configuration.current().map(PolicyResolver.class::cast)
        : Optional.empty();
  }

  private DataPath createDataPath() {
    DataPathOptions options =
        new DataPathOptions(
            membership.self().id(),
            settings.region(),
            settings.failureDomain(),
            new String(settings.sharedSecret().bytes(), StandardCharsets.UTF_8),
            settings.limits(),
            deployment.calls(),
            settings.service(),
            settings.target(),
            log::add);
    return new DataPath(
        eventLoop,
        options,
        this::policies,
        membership::view,
        new TargetAnnouncer(settings.id(), membership),
        new LocalNodeContext(membership, configuration),
        claims,
        deployment.announcements().isPresent()
            ? new TableDepartureLog(platform, eventLoop, settings.id())
            : DepartureLog.none(),
        startedMillis,
        ticker);
  }

  private void scheduleTick() {
    boolean busy = dataPath.callsInProgress() > 0;
    long millis = busy ? BUSY_TICK_INTERVAL_MILLIS : IDLE_TICK_INTERVAL_MILLIS;
    var unused = eventLoop.after(TimeUnit.MILLISECONDS.toNanos(millis), this::tick);
  }

  private void tick() {
    if (!closed) {
      dataPath.tick();
      dataPath
          .takeFatalChanges()
          .forEach(entry -> membership.reportFingerprint(FatalEntryConverter.toReport(entry)));
      scheduleTick();
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}

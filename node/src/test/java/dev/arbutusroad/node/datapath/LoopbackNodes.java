package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.config.CallPolicy;
import dev.arbutusroad.core.config.PolicyResolver;
import dev.arbutusroad.core.edge.CallProtocol;
import dev.arbutusroad.core.fatal.FatalEntry;
import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberState;
import dev.arbutusroad.core.membership.MemberView;
import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.settings.Limits;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.http.EventLoopThread;
import dev.arbutusroad.http.HttpListener;
import dev.arbutusroad.node.claim.Claims;
import dev.arbutusroad.node.claim.NoClaims;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;

/** Starts nodes on loopback: entry nodes without a target and nodes that serve one target each. */
final class LoopbackNodes implements AutoCloseable {
  private static final InetSocketAddress ANY = Addresses.of("127.0.0.1", 0);
  static final String SECRET = "a secret for tests only";

  private final EventLoopThread thread = EventLoopThread.start("data-path");
  private final List<HttpListener> listeners = new ArrayList<>();
  private final List<DataPath> paths = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private final CallPolicy policy;
  private final Claims claims;
  private final CallProtocol protocol;
  private final List<String> logLines = new CopyOnWriteArrayList<>();
  private final FakeNodeContext nodeContext = new FakeNodeContext();
  private long revision = 1;

  LoopbackNodes(CallPolicy policy) {
    this(policy, new NoClaims());
  }

  LoopbackNodes(CallPolicy policy, Claims claims) {
    this(policy, claims, new ArbutusProtocol());
  }

  LoopbackNodes(CallPolicy policy, Claims claims, CallProtocol protocol) {
    this.policy = policy;
    this.claims = claims;
    this.protocol = protocol;
  }

  static CallPolicy policy(boolean unrepeatable, int retries, long deadlineMillis) {
    return new CallPolicy("test", 50, unrepeatable, retries, deadlineMillis);
  }

  /** Starts a node without a target; returns the address of its caller listener. */
  InetSocketAddress entry() throws IOException {
    return listen("entry").address();
  }

  /** Starts a node that serves the target at an address. */
  DataPath serving(String service, InetSocketAddress target) throws Exception {
    HttpListener listener = listen(service + members.size());
    DataPath path = paths.get(paths.size() - 1);
    LocalTarget local = new LocalTarget(service, target, Optional.empty(), Optional.empty());
    onEventLoop(listener, () -> path.announce(local));
    member(service, listener.address());
    return path;
  }

  /** Adds a member with an address, at which no node needs to listen. */
  void member(String service, InetSocketAddress address) {
    members.add(
        new Member(
            service + members.size(),
            1,
            service,
            "muscat",
            "muscat-a",
            address,
            address,
            MemberState.UP,
            1));
    revision++;
  }

  /** Ticks every node and sends its entries about requests that crash targets to all others. */
  void tick() throws InterruptedException, ExecutionException {
    for (DataPath from : paths) {
      onEventLoop(
          listeners.get(0),
          () -> {
            from.tick();
            List<FatalEntry> changes = from.takeFatalChanges();
            paths.forEach(to -> to.mergeFatal(changes));
          });
    }
  }

  static void onEventLoop(HttpListener listener, Runnable task)
      throws InterruptedException, ExecutionException {
    listener.thread().loop().submit(task).get();
  }

  List<HttpListener> listeners() {
    return listeners;
  }

  List<DataPath> paths() {
    return paths;
  }

  private HttpListener listen(String id) throws IOException {
    DataPathOptions options =
        new DataPathOptions(
            id,
            "muscat",
            "muscat-a",
            SECRET,
            Limits.defaults(),
            protocol,
            Optional.empty(),
            Optional.empty(),
            logLines::add);
    DataPath path =
        new DataPath(
            thread,
            options,
            () -> Optional.of(new FixedPolicy(policy)),
            () -> new FixedView(revision, List.copyOf(members)),
            new NoListener(),
            nodeContext,
            claims,
            DepartureLog.none(),
            Long.MIN_VALUE,
            Ticker.system());
    HttpListener listener =
        HttpListener.start(thread, ANY, path::handleCaller, path::requestRefused);
    paths.add(path);
    listeners.add(listener);
    return listener;
  }

  @Override
  public void close() {
    listeners.forEach(HttpListener::close);
    paths.forEach(DataPath::close);
    thread.close();
  }

  /** Returns the lines that the data paths have logged. */
  List<String> logLines() {
    return logLines;
  }

  FakeNodeContext nodeContext() {
    return nodeContext;
  }

  /** A node context whose state the test sets and whose notifications it reads. */
  static final class FakeNodeContext implements NodeContext {
    volatile boolean stale;
    final List<String> unreachable = new CopyOnWriteArrayList<>();

    @Override
    public boolean isMemberViewStale() {
      return stale;
    }

    @Override
    public boolean isConfigurationUnconfirmed() {
      return false;
    }

    @Override
    public void newerConfigurationSeen() {}

    @Override
    public void memberUnreachable(String memberId) {
      unreachable.add(memberId);
    }
  }

  private record FixedPolicy(CallPolicy policy) implements PolicyResolver {
    @Override
    public long version() {
      return 1;
    }

    @Override
    public CallPolicy resolve(CallAttributes call) {
      return policy;
    }
  }

  private record FixedView(long revision, List<Member> all) implements MemberView {
    @Override
    public List<Member> serving(String service) {
      return all.stream().filter(member -> member.service().equals(service)).toList();
    }
  }

  private static final class NoListener implements TargetListener {
    @Override
    public void serving(String service) {}

    @Override
    public void leaving() {}

    @Override
    public void lost() {}
  }
}

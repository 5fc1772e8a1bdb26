package dev.arbutusroad.core.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;

/** Simulates members on one thread, with a fake clock and message loss, delay and partitions. */
public final class MemoryNetwork {
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  /** The allowance for transit time that a node adds to the age that a peer advertises. */
  private static final long TRANSIT_MILLIS = 200;

  private static final int FULL_RECORD_BYTES = 110;
  private static final int SHORT_RECORD_BYTES = 45;
  private static final int DATAGRAM_HEADER_BYTES = 96;

  private record Event(long atNanos, long order, Runnable action) {}

  /** A simulated node. */
  public final class Node implements GossipTransport, MembershipListener {
    private final MembershipProtocol protocol;
    private boolean running = true;
    private long pausedUntilNanos;
    private long version;
    private long confirmedNanos = Long.MIN_VALUE;
    private long datagramBytes;
    private long recordsExchanged;

    Node(Member self, List<InetSocketAddress> seeds) {
      protocol =
          new MembershipProtocol(
              self,
              seeds,
              new MembershipProtocol.Environment(
                  () -> nowNanos,
                  random.split(),
                  this,
                  this::advertisedConfiguration,
                  MemoryNetwork::bytes,
                  this));
      schedule(random.nextLong(STEP_NANOS), this::step);
    }

    public MembershipProtocol protocol() {
      return protocol;
    }

    public String id() {
      return protocol.self().id();
    }

    public boolean isRunning() {
      return running;
    }

    public long datagramBytes() {
      return datagramBytes;
    }

    public long recordsExchanged() {
      return recordsExchanged;
    }

    /** Simulates that the table service confirmed a version to this member. */
    public void confirm(long newVersion) {
      version = newVersion;
      confirmedNanos = nowNanos;
    }

    public long version() {
      return version;
    }

    public long confirmationAgeMillis() {
      return advertisedConfiguration().confirmationAgeMillis();
    }

    private AdvertisedConfiguration advertisedConfiguration() {
      return new AdvertisedConfiguration(
          version,
          confirmedNanos == Long.MIN_VALUE
              ? Long.MAX_VALUE
              : TimeUnit.NANOSECONDS.toMillis(nowNanos - confirmedNanos));
    }

    public void pause(long millis) {
      pausedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    public void kill() {
      running = false;
    }

    boolean sees(Node other) {
      return protocol.view().serving(SERVICE).stream()
          .anyMatch(member -> member.id().equals(other.id()));
    }

    List<String> servingIds() {
      return protocol.view().serving(SERVICE).stream().map(Member::id).toList();
    }

    @Override
    public int send(InetSocketAddress to, Gossip gossip) {
      int size =
          DATAGRAM_HEADER_BYTES
              + gossip.members().stream().mapToInt(MemoryNetwork::bytes).sum()
              + gossip.fingerprints().size() * GossipSender.FINGERPRINT_BYTES;
      datagramBytes += size;
      if (size > MembershipTiming.DATAGRAM_BYTES) {
        throw new IllegalStateException("datagram too large: " + size + " bytes");
      }
      Gossip onWire =
          new Gossip(
              gossip.kind(),
              gossip.sender(),
              gossip.counter(),
              gossip.sequence(),
              gossip.target(),
              gossip.targetAddress(),
              gossip.configuration(),
              gossip.members().stream().map(MemoryNetwork::onWire).toList(),
              gossip.fingerprints());
      if (random.nextDouble() >= loss) {
        deliver(to, node -> node.protocol.receive(onWire, protocol.self().peerAddress()));
      }
      return size;
    }

    @Override
    public void exchange(InetSocketAddress with) {
      StateRequest request = protocol.stateRequest();
      deliver(
          with,
          node -> {
            StateReply reply = node.protocol.answer(request);
            List<Member> theirs = reply.members().stream().map(MemoryNetwork::onWire).toList();
            StateReply replyOnWire =
                new StateReply(
                    reply.self(),
                    reply.buckets(),
                    theirs,
                    reply.configuration(),
                    reply.fingerprints());
            node.deliver(protocol.self().peerAddress(), back -> back.finish(replyOnWire, with));
          });
    }

    private void finish(StateReply reply, InetSocketAddress with) {
      List<Member> push = protocol.complete(reply);
      recordsExchanged += push.size() + reply.members().size();
      deliver(
          with,
          node -> node.protocol.receivePush(push.stream().map(MemoryNetwork::onWire).toList()));
    }

    @Override
    public void onPeerVersion(
        String id, InetSocketAddress peer, AdvertisedConfiguration advertised) {
      if (advertised.version() < version || advertised.confirmationAgeMillis() == Long.MAX_VALUE) {
        return;
      }
      long ageMillis = advertised.confirmationAgeMillis() + TRANSIT_MILLIS;
      long advertisedConfirmationNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
      confirmedNanos =
          advertised.version() > version
              ? advertisedConfirmationNanos
              : Math.max(confirmedNanos, advertisedConfirmationNanos);
      version = advertised.version();
    }

    @Override
    public void onMember(Member member) {
      observations.merge(member.id() + " " + member.state(), 1, Integer::sum);
      changes.add(
          "%d ms %s sees %s %s %d"
              .formatted(
                  TimeUnit.NANOSECONDS.toMillis(nowNanos),
                  id(),
                  member.id(),
                  member.state(),
                  member.incarnation()));
      if (member.state() == MemberState.DEAD && isAlive(member.id())) {
        falseDeaths.add(id() + " declares " + member.id() + " dead");
      }
    }

    private void deliver(InetSocketAddress to, java.util.function.Consumer<Node> action) {
      InetSocketAddress from = protocol.self().peerAddress();
      schedule(
          random.nextLong(MAX_DELAY_NANOS),
          () -> {
            Node target = byAddress.get(to);
            if (target != null && !isPartitioned.test(from, to)) {
              target.runAfterPause(() -> action.accept(target));
            }
          });
    }

    /** Runs an action, after the end of a pause if the node is paused. */
    private void runAfterPause(Runnable action) {
      if (!running) {
        return;
      }
      if (pausedUntilNanos > nowNanos) {
        schedule(pausedUntilNanos - nowNanos, () -> runAfterPause(action));
      } else {
        action.run();
      }
    }

    private void step() {
      runAfterPause(
          () -> {
            protocol.step();
            schedule(STEP_NANOS, this::step);
          });
    }
  }

  /** The service of every announced member. */
  public static final String SERVICE = "orders";

  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private final Map<InetSocketAddress, Node> byAddress = new HashMap<>();
  private final List<Node> nodes = new ArrayList<>();
  private final List<String> falseDeaths = new ArrayList<>();
  private final Map<String, Integer> observations = new HashMap<>();
  private final List<String> changes = new ArrayList<>();
  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private long nextOrder;
  private double loss;
  private BiPredicate<InetSocketAddress, InetSocketAddress> isPartitioned = (from, to) -> false;

  public MemoryNetwork(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Starts a member on a host. Hosts are numbered and run one member at a time. */
  public Node add(int host, int incarnationOfHost, List<InetSocketAddress> seeds) {
    InetSocketAddress address = address(host);
    String id = "node-%04d-%d".formatted(host, incarnationOfHost);
    Member self =
        new Member(id, 1, "", "region", "domain", address, address, MemberState.JOINING, 0);
    Node node = new Node(self, seeds);
    byAddress.put(address, node);
    nodes.add(node);
    return node;
  }

  /** Starts members that are in service and join through the first one; returns once all agree. */
  public List<Node> cluster(int count) {
    for (int host = 0; host < count; host++) {
      add(host, 0, List.of(address(0))).protocol.announce(SERVICE);
    }
    long limitMillis = TimeUnit.MINUTES.toMillis(5);
    if (runUntil(this::allAgree, limitMillis) > limitMillis) {
      throw new IllegalStateException("the cluster does not form");
    }
    falseDeaths.clear();
    return List.copyOf(nodes);
  }

  /** Starts members that are in service and know each other from the start. */
  public List<Node> formedCluster(int count) {
    for (int host = 0; host < count; host++) {
      add(host, 0, List.of()).protocol.announce(SERVICE);
    }
    List<Member> members = nodes.stream().map(node -> node.protocol.self()).toList();
    nodes.forEach(
        node ->
            node.protocol.receivePush(
                members.stream().filter(member -> !member.id().equals(node.id())).toList()));
    run(TimeUnit.NANOSECONDS.toMillis(2 * Disseminator.RUMOR_LIFETIME_NANOS));
    changes.clear();
    observations.clear();
    falseDeaths.clear();
    return List.copyOf(nodes);
  }

  /** Returns how many times members, including itself, observed a member enter a state. */
  public int observers(String id, MemberState state) {
    return observations.getOrDefault(id + " " + state, 0);
  }

  /** Runs an action after a delay and then at a fixed interval. */
  public void every(long delayMillis, long intervalMillis, Runnable action) {
    schedule(
        TimeUnit.MILLISECONDS.toNanos(delayMillis),
        () -> {
          action.run();
          every(intervalMillis, intervalMillis, action);
        });
  }

  public static InetSocketAddress address(int host) {
    try {
      byte[] ip = ByteBuffer.allocate(Integer.BYTES).putInt(0x0a000001 + host).array();
      return new InetSocketAddress(InetAddress.getByAddress(ip), 7000);
    } catch (UnknownHostException e) {
      throw new IllegalStateException(e);
    }
  }

  public void loss(double rate) {
    loss = rate;
  }

  /** Partitions the hosts below a number from the others; 0 heals the partition. */
  public void partitionBelow(int host) {
    List<InetSocketAddress> side = new ArrayList<>();
    for (int i = 0; i < host; i++) {
      side.add(address(i));
    }
    isPartitioned = (from, to) -> side.contains(from) != side.contains(to);
  }

  public List<Node> running() {
    return nodes.stream().filter(Node::isRunning).toList();
  }

  /** Returns whether every running member sees exactly the running members as in service. */
  public boolean allAgree() {
    List<String> ids = running().stream().map(Node::id).sorted().toList();
    return running().stream().allMatch(node -> node.servingIds().equals(ids));
  }

  /** Returns the declared deaths of members that were alive. */
  public List<String> falseDeaths() {
    return falseDeaths;
  }

  public void run(long millis) {
    var unused = runUntil(() -> false, millis);
  }

  /**
   * Runs until a condition holds, checked every 50 ms; returns the elapsed time in milliseconds.
   */
  public long runUntil(BooleanSupplier condition, long limitMillis) {
    long startNanos = nowNanos;
    long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(limitMillis);
    long checkNanos = TimeUnit.MILLISECONDS.toNanos(50);
    for (long untilNanos = startNanos; ; untilNanos += checkNanos) {
      while (!events.isEmpty() && events.peek().atNanos() <= untilNanos) {
        Event event = events.remove();
        nowNanos = event.atNanos();
        event.action().run();
      }
      nowNanos = untilNanos;
      if (condition.getAsBoolean() || untilNanos > endNanos) {
        return TimeUnit.NANOSECONDS.toMillis(untilNanos - startNanos);
      }
    }
  }

  /** Returns the changes of a member, for the message of a failed assertion. */
  List<String> changesAbout(String id) {
    return changes.stream().filter(line -> line.contains(" " + id + " ")).toList();
  }

  private Optional<Node> find(String id) {
    return nodes.stream().filter(node -> node.id().equals(id)).findFirst();
  }

  /** Returns whether a member runs, is not paused and is not leaving. */
  private boolean isAlive(String id) {
    return find(id)
        .filter(node -> node.running && node.pausedUntilNanos < nowNanos)
        .filter(node -> node.protocol.self().state() != MemberState.LEAVING)
        .isPresent();
  }

  private void schedule(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, nextOrder++, action));
  }

  /** Returns the record as the codec decodes it, which is without addresses in some states. */
  private static Member onWire(Member member) {
    return MergeRule.carriesAddresses(member.state())
        ? member
        : new Member(
            member.id(),
            member.incarnation(),
            "",
            "",
            "",
            new InetSocketAddress(0),
            new InetSocketAddress(0),
            member.state(),
            0);
  }

  private static int bytes(Member member) {
    return MergeRule.carriesAddresses(member.state()) ? FULL_RECORD_BYTES : SHORT_RECORD_BYTES;
  }
}

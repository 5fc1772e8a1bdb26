package dev.arbutusroad.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ConfigurationTrackerTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long STEP = SECOND / 10;
  private static final int DESIGN_NODE_COUNT = 1_900;

  /**
   * Guards against a version that decreases, and against a node that considers its version
   * confirmed although a newer one has been in force for longer than 8 s plus the undetected part
   * of a pause. Reads and messages arrive late, out of order and after pauses; nodes restart and
   * lose their connections to the store and to each other.
   */
  @Test
  void versionNeverDecreasesAndSupersededVersionIsNotConfirmed() {
    long seed = Long.getLong("arbutusroad.seed", System.nanoTime());
    System.out.println("ConfigurationTrackerTest seed " + seed);
    for (int round = 0; round < 200; round++) {
      new Schedule(new Random(seed + round), seed + round).run();
    }
  }

  /** Guards against a node that restarts without the store and serves an old version. */
  @Test
  void restartedNodeWaitsForThreePeersAndTheGreatestVersion() {
    Node node = new Node(0, 1);
    assertThat(node.tracker.recordPeerVersion("p1", 4, 0)).isTrue();
    node.tracker.adoptPeerConfiguration(version(4), 0);
    assertThat(node.tracker.isReady(9)).isFalse();
    assertThat(node.tracker.isReady(1)).isTrue();

    Node other = new Node(0, 1);
    other.tracker.recordPeerVersion("p1", 4, 0);
    other.tracker.adoptPeerConfiguration(version(4), 0);
    assertThat(other.tracker.recordPeerVersion("p2", 6, 0)).isTrue();
    assertThat(other.tracker.recordPeerVersion("p3", 6, 0)).as("one fetch at a time").isFalse();
    assertThat(other.tracker.isReady(9)).as("version 6 is known but not held").isFalse();
    other.tracker.adoptPeerConfiguration(version(6), 0);
    assertThat(other.tracker.isReady(9)).isTrue();
    assertThat(new Node(0, 1).tracker.isReady(0)).as("no configuration").isFalse();
  }

  /** Guards against polling that exceeds the store's capacity, and against polling that stops. */
  @Test
  void pollIntervalGrowsWithTheNumberOfMembers() {
    assertThat(PollInterval.meanNanos(1)).isEqualTo(SECOND);
    assertThat(PollInterval.meanNanos(1900)).isEqualTo(20 * SECOND);
    assertThat(PollInterval.meanNanos(100_000)).isEqualTo(20 * SECOND);
    for (int members = 95; members <= 1900; members += 19) {
      double reads = members / (PollInterval.meanNanos(members) / (double) SECOND);
      assertThat(reads).isBetween(94.0, 95.5);
    }
    Node node = new Node(0, 1);
    assertThat(node.tracker.startPoll(1)).isTrue();
    node.tracker.advanceTo(2 * SECOND);
    assertThat(node.tracker.startPoll(1)).as("one read at a time").isFalse();
    node.tracker.advanceTo(40 * SECOND);
    assertThat(node.tracker.startPoll(1)).as("a lost read doesn't stop polling").isTrue();
  }

  /**
   * Guards against nodes at the design size that are unconfirmed although the store answers. Each
   * node reads the store only every 20 s; in between it relies on the versions in one probe and its
   * answer per second.
   */
  @Test
  void designSizeStaysConfirmedByPollsAndProbes() {
    long seed = Long.getLong("arbutusroad.seed", System.nanoTime());
    System.out.println("ConfigurationTrackerTest design size seed " + seed);
    Random random = new Random(seed);
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < DESIGN_NODE_COUNT; i++) {
      nodes.add(new Node(0, seed + i));
    }
    long maxAgeNanos = 0;
    for (long now = 0; now < 90 * SECOND; now += SECOND / 4) {
      for (int i = 0; i < DESIGN_NODE_COUNT; i++) {
        Node node = nodes.get(i);
        node.tracker.advanceTo(now);
        if (node.tracker.startPoll(DESIGN_NODE_COUNT)) {
          node.tracker.recordPollEnd();
          node.tracker.recordStoreVersion(1, now);
          node.holder.adoptIfNewer(version(1), now);
        }
        Node peer = nodes.get(random.nextInt(DESIGN_NODE_COUNT));
        if (i % 4 == now / (SECOND / 4) % 4 && peer.holder.version() > 0) {
          long confirmedAt = now - peer.holder.confirmationAgeNanos(now);
          peer.tracker.recordPeerVersion("n" + i, 1, now - node.holder.confirmationAgeNanos(now));
          node.tracker.recordPeerVersion("p", 1, confirmedAt);
        }
        if (now > 60 * SECOND) {
          maxAgeNanos = Math.max(maxAgeNanos, node.holder.confirmationAgeNanos(now));
        }
      }
    }
    System.out.println("oldest confirmation at the design size: " + maxAgeNanos / 1e9 + " s");
    assertThat(maxAgeNanos).isLessThan(ConfigurationHolder.MAX_CONFIRMATION_AGE_NANOS);
  }

  private static Configuration version(long version) {
    return ConfigurationParser.parse("v", "{\"rules\": []}", version).get();
  }

  private static final class Node {
    final ConfigurationHolder holder = new ConfigurationHolder();
    final ConfigurationTracker tracker;
    long greatestVersion;
    long pausedUntil;
    long disconnectedUntil;

    Node(long now, long seed) {
      tracker = new ConfigurationTracker(holder, new SplittableRandom(seed), now);
    }
  }

  /** A message to a node, with the sender's state when it was sent. */
  private record Message(int to, long dueAt, long sentAt, long version, long age, boolean peer) {}

  private static final class Schedule {
    private static final int NODES = 3;
    private final Random random;
    private final long seed;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Message> messages = new ArrayList<>();
    private final List<Long> appliedAt = new ArrayList<>();
    private long now;

    Schedule(Random random, long seed) {
      this.random = random;
      this.seed = seed;
    }

    void run() {
      for (int i = 0; i < NODES; i++) {
        nodes.add(new Node(now, seed + i));
      }
      for (int step = 0; step < 600; step++) {
        now += STEP;
        boolean storeUp = (step / 150) % 2 == 0;
        if (random.nextInt(40) == 0) {
          appliedAt.add(now);
        }
        for (int i = 0; i < NODES; i++) {
          injectFault(i);
          if (nodes.get(i).pausedUntil <= now) {
            runNode(i, storeUp);
          }
        }
      }
    }

    private void injectFault(int i) {
      if (random.nextInt(100) == 0) {
        nodes.get(i).disconnectedUntil = now + random.nextInt(40) * SECOND;
      }
      if (random.nextInt(300) == 0) {
        nodes.set(i, new Node(now, seed + now));
        // Messages buffered by the sockets of the old process are lost.
        messages.removeIf(message -> message.to == i);
      } else if (random.nextInt(150) == 0) {
        nodes.get(i).pausedUntil = now + random.nextInt(20) * SECOND;
      } else if (random.nextInt(150) == 0) {
        nodes.get(i).pausedUntil = now + random.nextInt(5) * STEP;
      }
    }

    private void runNode(int i, boolean storeUp) {
      Node node = nodes.get(i);
      node.tracker.advanceTo(now);
      messages.removeIf(message -> message.to == i && message.dueAt <= now && deliver(message));
      if (node.tracker.startPoll(NODES)) {
        node.tracker.recordPollEnd();
        if (storeUp && !isDisconnected(i)) {
          // The delay stands for a late answer or for a read from a lagging replica.
          long version = appliedAt.size();
          send(new Message(i, delayedTime(), now, version, 0, false));
        }
      }
      if (node.holder.version() > 0 && !isDisconnected(i) && random.nextInt(5) == 0) {
        long age = node.holder.confirmationAgeNanos(now);
        int to = random.nextInt(NODES);
        send(new Message(to, now, now, node.holder.version(), age, true));
      }
      checkInvariants(node, i);
    }

    private long delayedTime() {
      return now + random.nextInt(60) * STEP;
    }

    private void send(Message message) {
      if (!isDisconnected(message.to)) {
        messages.add(message);
      }
    }

    private boolean isDisconnected(int i) {
      return now < nodes.get(i).disconnectedUntil;
    }

    private boolean deliver(Message message) {
      Node node = nodes.get(message.to);
      if (message.peer) {
        // The receiver knows only when it read a datagram, not when it was sent.
        if (node.tracker.recordPeerVersion(
            "peer" + message.version, message.version, now - message.age)) {
          node.tracker.adoptPeerConfiguration(
              version(message.version), message.sentAt - message.age);
        }
      } else if (node.tracker.recordStoreVersion(message.version, message.sentAt)) {
        node.tracker.adoptStoreConfiguration(version(message.version), message.sentAt);
      }
      return true;
    }

    private void checkInvariants(Node node, int i) {
      long version = node.holder.version();
      assertThat(version)
          .as("seed %d node %d", seed, i)
          .isGreaterThanOrEqualTo(node.greatestVersion);
      node.greatestVersion = version;
      if (version > 0 && version < appliedAt.size() && !node.holder.isUnconfirmed(now)) {
        long supersededNanos = now - appliedAt.get((int) version);
        long maxNanos =
            ConfigurationHolder.MAX_CONFIRMATION_AGE_NANOS
                + ConfigurationTracker.PAUSE_THRESHOLD_NANOS;
        assertThat(supersededNanos)
            .as("seed %d node %d time %d", seed, i, now)
            .isLessThanOrEqualTo(maxNanos);
      }
    }
  }
}

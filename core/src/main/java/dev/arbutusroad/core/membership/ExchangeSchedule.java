package dev.arbutusroad.core.membership;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Decides when and with whom the full state is exchanged. */
final class ExchangeSchedule {
  /** Up to this many changes an exchange is ordinary; beyond, another one follows soon. */
  static final int FEW_CHANGES = 32;

  private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final MemberTable table;
  private final SeedRotation seeds;
  private final RandomGenerator random;
  private final GossipTransport transport;
  private long nextNanos;
  private long nextSeedNanos;
  private long nextUnknownNanos;
  private int freshSeeds;
  private boolean completed;
  private boolean retrying;

  ExchangeSchedule(
      MemberTable table,
      List<InetSocketAddress> seeds,
      RandomGenerator random,
      GossipTransport transport,
      long nowNanos) {
    this.table = table;
    this.seeds = new SeedRotation(seeds);
    this.random = random;
    this.transport = transport;
    nextNanos = nowNanos;
    nextSeedNanos = nowNanos;
    nextUnknownNanos = nowNanos;
  }

  void setTableSeeds(List<InetSocketAddress> addresses) {
    seeds.fromTable(addresses);
    freshSeeds = addresses.size();
  }

  boolean hasCompleted() {
    return completed;
  }

  /** Starts an exchange with a random member and, less often, with an unknown seed. */
  void step(long nowNanos) {
    if (freshSeeds > 0) {
      // Members that started together may have formed groups that do not know each other.
      freshSeeds--;
      unknownSeed().ifPresent(transport::exchange);
    }
    if (nowNanos - nextSeedNanos >= 0) {
      boolean alone = table.livePeerCount() == 0;
      nextSeedNanos =
          nowNanos + (alone ? RETRY_NANOS : jittered(MembershipTiming.EXCHANGE_INTERVAL_NANOS));
      unknownSeed().ifPresent(transport::exchange);
    }
    if (nowNanos - nextNanos >= 0) {
      nextNanos =
          nowNanos + (retrying ? RETRY_NANOS : jittered(MembershipTiming.EXCHANGE_INTERVAL_NANOS));
      table.randomLivePeer().ifPresent(peer -> transport.exchange(peer.peerAddress()));
    }
  }

  /** Exchanges at the next step, and again each second until one succeeds. */
  void soon(long nowNanos) {
    nextNanos = nowNanos;
    retrying = true;
  }

  /** An exchange succeeded. */
  void completed(boolean manyDiffered, long nowNanos) {
    completed = true;
    retrying = false;
    nextNanos =
        nowNanos
            + jittered(
                manyDiffered
                    ? MembershipTiming.EXCHANGE_AGAIN_NANOS
                    : MembershipTiming.EXCHANGE_INTERVAL_NANOS);
  }

  /** A datagram came from a member that is not in the table. */
  void unknownSender(InetSocketAddress from, long nowNanos) {
    if (nowNanos - nextUnknownNanos >= 0) {
      nextUnknownNanos = nowNanos + MembershipTiming.EXCHANGE_AGAIN_NANOS;
      transport.exchange(from);
    }
  }

  private Optional<InetSocketAddress> unknownSeed() {
    Set<InetSocketAddress> known = new HashSet<>();
    known.add(table.self().peerAddress());
    for (Member member : table.view().all()) {
      known.add(member.peerAddress());
    }
    return seeds.next(known);
  }

  /** Within a fifth of the interval, so that members that start together spread out. */
  private long jittered(long nanos) {
    return nanos - nanos / 10 + random.nextLong(nanos / 5);
  }
}

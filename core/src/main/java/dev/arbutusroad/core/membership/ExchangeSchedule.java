package dev.arbutusroad.core.membership;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Decides when, and with which member or seed, the full state is exchanged (anti-entropy). */
final class ExchangeSchedule {
  /** An exchange with at least this many changes is followed by another one after a few seconds. */
  static final int ORDINARY_CHANGE_LIMIT = 32;

  private static final long RETRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final MemberTable table;
  private final SeedRotation seeds;
  private final RandomGenerator random;
  private final GossipTransport transport;
  private long nextNanos;
  private long nextSeedNanos;
  private long nextUnknownSenderNanos;
  private int untriedTableSeeds;
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
    nextUnknownSenderNanos = nowNanos;
  }

  void setTableSeeds(List<InetSocketAddress> addresses) {
    seeds.replaceTableSeeds(addresses);
    untriedTableSeeds = addresses.size();
  }

  boolean hasCompleted() {
    return completed;
  }

  /** Starts the exchanges that are due, with a random member or with a seed not in the table. */
  void step(long nowNanos) {
    if (untriedTableSeeds > 0) {
      // Members that started at the same time may have formed separate groups, so every seed from
      // the table is contacted.
      untriedTableSeeds--;
      nextUnknownSeed().ifPresent(transport::exchange);
    }
    if (nowNanos - nextSeedNanos >= 0) {
      boolean alone = table.livePeerCount() == 0;
      nextSeedNanos =
          nowNanos
              + (alone ? RETRY_INTERVAL_NANOS : jittered(MembershipTiming.EXCHANGE_INTERVAL_NANOS));
      nextUnknownSeed().ifPresent(transport::exchange);
    }
    if (nowNanos - nextNanos >= 0) {
      nextNanos =
          nowNanos
              + (retrying
                  ? RETRY_INTERVAL_NANOS
                  : jittered(MembershipTiming.EXCHANGE_INTERVAL_NANOS));
      table.randomLivePeer().ifPresent(peer -> transport.exchange(peer.peerAddress()));
    }
  }

  /** Schedules an exchange for the next step, repeated every second until one succeeds. */
  void scheduleNow(long nowNanos) {
    nextNanos = nowNanos;
    retrying = true;
  }

  /** Schedules the next exchange after one has succeeded. */
  void onCompleted(boolean manyChanged, long nowNanos) {
    completed = true;
    retrying = false;
    nextNanos =
        nowNanos
            + jittered(
                manyChanged
                    ? MembershipTiming.FOLLOW_UP_EXCHANGE_NANOS
                    : MembershipTiming.EXCHANGE_INTERVAL_NANOS);
  }

  /** Exchanges state with the sender of a datagram that is not in the table, at a limited rate. */
  void onUnknownSender(InetSocketAddress from, long nowNanos) {
    if (nowNanos - nextUnknownSenderNanos >= 0) {
      nextUnknownSenderNanos = nowNanos + MembershipTiming.FOLLOW_UP_EXCHANGE_NANOS;
      transport.exchange(from);
    }
  }

  private Optional<InetSocketAddress> nextUnknownSeed() {
    Set<InetSocketAddress> known = new HashSet<>();
    known.add(table.self().peerAddress());
    for (Member member : table.view().all()) {
      known.add(member.peerAddress());
    }
    return seeds.next(known);
  }

  /** Varies an interval by up to 10% either way to desynchronize members that start together. */
  private long jittered(long nanos) {
    return nanos - nanos / 10 + random.nextLong(nanos / 5);
  }
}

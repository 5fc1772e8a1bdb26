package dev.arbutusroad.core.membership;

import java.util.concurrent.TimeUnit;

/** The intervals, timeouts and size limits of the membership protocol. */
public final class MembershipTiming {
  /** One probe per second, as in SWIM; detection takes 1.5 periods on average. */
  public static final long PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Ten round trips between distant regions; after this time other members probe indirectly. */
  public static final long DIRECT_ACK_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** The total time in which a probe, direct or indirect, has to be acknowledged. */
  public static final long PROBE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

  public static final int INDIRECT_PROBES = 3;

  /** The time in which a suspected member can refute the suspicion. */
  public static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * The timeout of a suspicion that another member raised; longer, so that the death declared by
   * that member arrives first.
   */
  public static final long REMOTE_SUSPICION_NANOS = SUSPICION_NANOS + TimeUnit.SECONDS.toNanos(2);

  public static final long GOSSIP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  public static final int GOSSIP_FANOUT = 3;

  public static final long EXCHANGE_INTERVAL_NANOS = TimeUnit.MINUTES.toNanos(1);

  /**
   * The delay after an exchange with many changes, such as after a network partition has healed.
   */
  public static final long FOLLOW_UP_EXCHANGE_NANOS = TimeUnit.SECONDS.toNanos(5);

  public static final long DEAD_PROBE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Partitions between regions last minutes; dead members are kept much longer than that. */
  public static final long DEAD_RETENTION_NANOS = TimeUnit.HOURS.toNanos(1);

  /** Shorter gaps between steps are ordinary scheduling; longer ones extend the deadlines. */
  public static final long LATE_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** A gap after which this member may have been declared dead and its view may be outdated. */
  public static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);

  public static final int DATAGRAM_BYTES = 1_200;

  public static final int SEND_BYTES_PER_SECOND = 4_096;

  /** The maximum number of members kept: 1,900 live ones by design plus an hour of dead ones. */
  public static final int MEMBER_CAPACITY = 8_192;

  private MembershipTiming() {}
}

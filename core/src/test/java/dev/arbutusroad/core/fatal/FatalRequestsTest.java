package dev.arbutusroad.core.fatal;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.testing.Seeds;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class FatalRequestsTest {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final int TARGETS = 20;
  private static final int HARMLESS_REQUESTS = 30;
  private static final int ROUNDS = 300;
  private static final int STEPS = 1_500;
  private static final Fingerprint FATAL_REQUEST = new Fingerprint(-1);

  private static final class Target {
    final FatalRequests fatalRequests = new FatalRequests();
    final List<Fingerprint> running = new ArrayList<>();
  }

  private final Random random = new Random(Seeds.seed("FatalRequestsTest"));
  private final List<Target> targets = new ArrayList<>();
  private final List<Fingerprint> waiting = new ArrayList<>();
  private final Set<Fingerprint> refused = new HashSet<>();
  private long now;
  private int crashedTargets;

  private void send(Fingerprint fingerprint) {
    Target target = targets.get(random.nextInt(TARGETS));
    switch (target.fatalRequests.begin(fingerprint, now)) {
      case RUN -> target.running.add(fingerprint);
      case WAIT -> waiting.add(fingerprint);
      case REFUSE -> refused.add(fingerprint);
    }
  }

  private void crash(Target target) {
    crashedTargets++;
    if (random.nextBoolean()) {
      target.running.forEach(
          fingerprint -> target.fatalRequests.connectionBroken(fingerprint, now));
      now += FatalRequests.GRACE_NANOS;
      target.fatalRequests.evaluateBrokenRequests(now);
    } else {
      target.fatalRequests.targetDied(now);
    }
    target.running.clear();
    gossip();
  }

  private void gossip() {
    for (Target from : targets) {
      List<FatalEntry> changes = from.fatalRequests.takeChanges(Integer.MAX_VALUE, now);
      targets.forEach(to -> to.fatalRequests.merge(changes, now));
    }
  }

  private void step(boolean fatalRequestIsPending) {
    now += MILLI_NANOS;
    Target target = targets.get(random.nextInt(TARGETS));
    if (target.running.contains(FATAL_REQUEST)) {
      crash(target);
    } else if (!target.running.isEmpty() && random.nextInt(3) > 0) {
      Fingerprint done = target.running.remove(random.nextInt(target.running.size()));
      target.fatalRequests.finish(done, true, now);
    }
    // A few fingerprints are requested repeatedly.
    send(
        new Fingerprint(
            Math.min(random.nextInt(HARMLESS_REQUESTS), random.nextInt(HARMLESS_REQUESTS))));
    if (random.nextInt(4) == 0) {
      gossip();
    }
    if (!fatalRequestIsPending && random.nextInt(20) == 0) {
      send(FATAL_REQUEST);
    }
    if (!waiting.isEmpty()) {
      send(waiting.remove(0));
    }
  }

  private boolean fatalRequestIsPending() {
    return waiting.contains(FATAL_REQUEST)
        || targets.stream().anyMatch(target -> target.running.contains(FATAL_REQUEST));
  }

  /**
   * Guards against losing a third target to one fatal request that is sent repeatedly, and against
   * refusing harmless requests that ran at the same time. A copy of the fatal request is sent only
   * after the previous copy has ended; simultaneous copies are not covered.
   */
  @Test
  void fatalRequestKillsTwoTargetsAndNoHarmlessRequestIsRefused() {
    for (int round = 0; round < ROUNDS; round++) {
      targets.clear();
      waiting.clear();
      refused.clear();
      crashedTargets = 0;
      for (int i = 0; i < TARGETS; i++) {
        targets.add(new Target());
      }
      for (int i = 0; i < STEPS; i++) {
        step(fatalRequestIsPending());
      }
      assertThat(crashedTargets).isEqualTo(2);
      assertThat(refused).containsExactly(FATAL_REQUEST);
      assertThat(waiting).as("suspects are cleared").hasSizeLessThan(HARMLESS_REQUESTS);
    }
  }

  /** Guards against entries that never expire, grow without bound or revert to an older status. */
  @Test
  void entriesExpireAreBoundedAndMergeInAnyOrder() {
    FatalRequests fatalRequests = new FatalRequests();
    Fingerprint request = new Fingerprint(7);
    fatalRequests.merge(List.of(entry(request, FatalEntry.Status.CLEARED, 1)), 0);
    fatalRequests.merge(List.of(entry(request, FatalEntry.Status.SUSPECT, 2)), 0);
    assertThat(fatalRequests.count(FatalEntry.Status.SUSPECT)).isZero();
    fatalRequests.merge(List.of(entry(request, FatalEntry.Status.MARKED, 5)), 0);
    fatalRequests.merge(List.of(entry(request, FatalEntry.Status.CLEARED, 0)), 0);
    assertThat(fatalRequests.begin(request, 0)).isEqualTo(FatalRequests.Verdict.REFUSE);
    assertThat(fatalRequests.begin(request, TimeUnit.MINUTES.toNanos(10)))
        .isEqualTo(FatalRequests.Verdict.RUN);

    for (long i = 0; i < 3 * FatalTable.MAX_ENTRIES; i++) {
      fatalRequests.merge(List.of(entry(new Fingerprint(i), FatalEntry.Status.SUSPECT, 0)), 0);
    }
    assertThat(fatalRequests.entries(0)).hasSize(FatalTable.MAX_ENTRIES);
    assertThat(fatalRequests.takeChanges(Integer.MAX_VALUE, 0)).hasSize(FatalTable.MAX_ENTRIES);
    assertThat(fatalRequests.takeChanges(1, 0)).isEmpty();
  }

  /** Guards against marking a suspect that is still running when another connection breaks. */
  @Test
  void brokenConnectionDoesNotMarkOtherRequests() {
    FatalRequests fatalRequests = new FatalRequests();
    Fingerprint suspect = new Fingerprint(1);
    Fingerprint other = new Fingerprint(2);
    fatalRequests.merge(List.of(entry(suspect, FatalEntry.Status.SUSPECT, 0)), 0);
    fatalRequests.begin(suspect, 0);
    fatalRequests.begin(other, 0);

    fatalRequests.connectionBroken(other, 0);
    fatalRequests.evaluateBrokenRequests(FatalRequests.GRACE_NANOS);

    assertThat(fatalRequests.count(FatalEntry.Status.MARKED)).isZero();
    assertThat(fatalRequests.check(other, now)).isEqualTo(FatalRequests.Verdict.RUN);
    fatalRequests.finish(suspect, true, 0);
    assertThat(fatalRequests.check(other, now)).isEqualTo(FatalRequests.Verdict.RUN);
  }

  /** Guards against suspecting requests whose answers a live target has lost. */
  @Test
  void targetThatAnswersOtherRequestsHasNotDied() {
    FatalRequests fatalRequests = new FatalRequests();
    for (long i = 0; i < 10; i++) {
      fatalRequests.begin(new Fingerprint(i), 0);
    }
    fatalRequests.connectionBroken(new Fingerprint(0), 0);
    for (long i = 1; i < 10; i++) {
      fatalRequests.finish(new Fingerprint(i), true, MILLI_NANOS);
    }
    fatalRequests.evaluateBrokenRequests(FatalRequests.GRACE_NANOS);
    assertThat(fatalRequests.deaths()).isZero();
    assertThat(fatalRequests.check(new Fingerprint(0), now)).isEqualTo(FatalRequests.Verdict.RUN);
  }

  /** Guards against missing a crash because new requests have started after it. */
  @Test
  void requestsStartedAfterTheBreakDoNotShowThatTheTargetIsAlive() {
    FatalRequests fatalRequests = new FatalRequests();
    fatalRequests.begin(new Fingerprint(0), 0);
    fatalRequests.connectionBroken(new Fingerprint(0), 0);
    fatalRequests.begin(new Fingerprint(1), MILLI_NANOS);
    fatalRequests.evaluateBrokenRequests(FatalRequests.GRACE_NANOS);
    assertThat(fatalRequests.deaths()).isEqualTo(1);
    assertThat(fatalRequests.isSuspect(new Fingerprint(0), now)).isTrue();
  }

  /** Guards against equal fingerprints of requests that differ in one part. */
  @Test
  void everyPartOfTheRequestChangesTheFingerprint() {
    byte[] body = {1, 2};
    Set<Fingerprint> all =
        Set.of(
            Fingerprint.of("a", "GET", "/p", body, Optional.empty()),
            Fingerprint.of("b", "GET", "/p", body, Optional.empty()),
            Fingerprint.of("a", "PUT", "/p", body, Optional.empty()),
            Fingerprint.of("a", "GET", "/p?q", body, Optional.empty()),
            Fingerprint.of("a", "GET", "/p", new byte[] {1}, Optional.empty()),
            Fingerprint.of("a", "GET", "/p", body, Optional.of("k")));

    assertThat(all).hasSize(6);
    assertThat(all).contains(Fingerprint.of("a", "GET", "/p", body, Optional.empty()));
  }

  private static FatalEntry entry(Fingerprint request, FatalEntry.Status status, long ageSeconds) {
    return new FatalEntry(request, status, 1, TimeUnit.SECONDS.toNanos(ageSeconds));
  }
}

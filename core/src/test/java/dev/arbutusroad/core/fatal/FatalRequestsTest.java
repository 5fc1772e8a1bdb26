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
  private static final int POPULAR = 30;
  private static final int ROUNDS = 300;
  private static final int STEPS = 1_500;
  private static final Fingerprint KILLER = new Fingerprint(-1);

  private static final class Target {
    final FatalRequests guard = new FatalRequests();
    final List<Fingerprint> running = new ArrayList<>();
  }

  private final Random random = new Random(Seeds.seed("FatalRequestsTest"));
  private final List<Target> targets = new ArrayList<>();
  private final List<Fingerprint> waiting = new ArrayList<>();
  private final Set<Fingerprint> refused = new HashSet<>();
  private long now;
  private int lost;

  private void offer(Fingerprint fingerprint) {
    Target target = targets.get(random.nextInt(TARGETS));
    switch (target.guard.begin(fingerprint, now)) {
      case RUN -> target.running.add(fingerprint);
      case WAIT -> waiting.add(fingerprint);
      case REFUSE -> refused.add(fingerprint);
    }
  }

  private void die(Target target) {
    lost++;
    if (random.nextBoolean()) {
      target.running.forEach(fingerprint -> target.guard.connectionBroken(fingerprint, now));
      now += FatalRequests.GRACE_NANOS;
      target.guard.evaluateBrokenRequests(now);
    } else {
      target.guard.targetDied(now);
    }
    target.running.clear();
    gossip();
  }

  private void gossip() {
    for (Target from : targets) {
      List<FatalEntry> changes = from.guard.takeChanges(Integer.MAX_VALUE, now);
      targets.forEach(to -> to.guard.merge(changes, now));
    }
  }

  private void step(boolean killerIsOut) {
    now += MILLI_NANOS;
    Target target = targets.get(random.nextInt(TARGETS));
    if (target.running.contains(KILLER)) {
      die(target);
    } else if (!target.running.isEmpty() && random.nextInt(3) > 0) {
      Fingerprint done = target.running.remove(random.nextInt(target.running.size()));
      target.guard.finish(done, true, now);
    }
    // Popular requests: a few fingerprints are asked for again and again.
    offer(new Fingerprint(Math.min(random.nextInt(POPULAR), random.nextInt(POPULAR))));
    if (random.nextInt(4) == 0) {
      gossip();
    }
    if (!killerIsOut && random.nextInt(20) == 0) {
      offer(KILLER);
    }
    if (!waiting.isEmpty()) {
      offer(waiting.remove(0));
    }
  }

  private boolean killerIsOut() {
    return waiting.contains(KILLER)
        || targets.stream().anyMatch(target -> target.running.contains(KILLER));
  }

  /**
   * Guards against a third target lost to one request that is sent again and again, and against
   * innocent requests that are refused because they ran beside it. A copy of the killer is sent
   * only after the one before has ended, as simultaneous copies are not covered.
   */
  @Test
  void losesTwoTargetsAndRefusesNoInnocentRequest() {
    for (int round = 0; round < ROUNDS; round++) {
      targets.clear();
      waiting.clear();
      refused.clear();
      lost = 0;
      for (int i = 0; i < TARGETS; i++) {
        targets.add(new Target());
      }
      for (int i = 0; i < STEPS; i++) {
        step(killerIsOut());
      }
      assertThat(lost).isEqualTo(2);
      assertThat(refused).containsExactly(KILLER);
      assertThat(waiting).as("suspects are cleared").hasSizeLessThan(POPULAR);
    }
  }

  /** Guards against knowledge that never ends, that grows without bound, or that goes backwards. */
  @Test
  void knowledgeExpiresIsBoundedAndMergesInAnyOrder() {
    FatalRequests guard = new FatalRequests();
    Fingerprint request = new Fingerprint(7);
    guard.merge(List.of(entry(request, FatalEntry.Status.CLEARED, 1)), 0);
    guard.merge(List.of(entry(request, FatalEntry.Status.SUSPECT, 2)), 0);
    assertThat(guard.count(FatalEntry.Status.SUSPECT)).isZero();
    guard.merge(List.of(entry(request, FatalEntry.Status.MARKED, 5)), 0);
    guard.merge(List.of(entry(request, FatalEntry.Status.CLEARED, 0)), 0);
    assertThat(guard.begin(request, 0)).isEqualTo(FatalRequests.Verdict.REFUSE);
    assertThat(guard.begin(request, TimeUnit.MINUTES.toNanos(10)))
        .isEqualTo(FatalRequests.Verdict.RUN);

    for (long i = 0; i < 3 * FatalTable.MAX_ENTRIES; i++) {
      guard.merge(List.of(entry(new Fingerprint(i), FatalEntry.Status.SUSPECT, 0)), 0);
    }
    assertThat(guard.entries(0)).hasSize(FatalTable.MAX_ENTRIES);
    assertThat(guard.takeChanges(Integer.MAX_VALUE, 0)).hasSize(FatalTable.MAX_ENTRIES);
    assertThat(guard.takeChanges(1, 0)).isEmpty();
  }

  /** Guards against a mark on a suspect that survives while another request's connection breaks. */
  @Test
  void oneBrokenConnectionDoesNotMarkTheOthers() {
    FatalRequests guard = new FatalRequests();
    Fingerprint suspect = new Fingerprint(1);
    Fingerprint other = new Fingerprint(2);
    guard.merge(List.of(entry(suspect, FatalEntry.Status.SUSPECT, 0)), 0);
    guard.begin(suspect, 0);
    guard.begin(other, 0);

    guard.connectionBroken(other, 0);
    guard.evaluateBrokenRequests(FatalRequests.GRACE_NANOS);

    assertThat(guard.count(FatalEntry.Status.MARKED)).isZero();
    assertThat(guard.check(other, now)).isEqualTo(FatalRequests.Verdict.RUN);
    guard.finish(suspect, true, 0);
    assertThat(guard.check(other, now)).isEqualTo(FatalRequests.Verdict.RUN);
  }

  /** Guards against requests held up because a target that lives has lost their answers. */
  @Test
  void targetThatAnswersOtherRequestsHasNotDied() {
    FatalRequests guard = new FatalRequests();
    for (long i = 0; i < 10; i++) {
      guard.begin(new Fingerprint(i), 0);
    }
    guard.connectionBroken(new Fingerprint(0), 0);
    for (long i = 1; i < 10; i++) {
      guard.finish(new Fingerprint(i), true, MILLI_NANOS);
    }
    guard.evaluateBrokenRequests(FatalRequests.GRACE_NANOS);
    assertThat(guard.deaths()).isZero();
    assertThat(guard.check(new Fingerprint(0), now)).isEqualTo(FatalRequests.Verdict.RUN);
  }

  /** Guards against a crash that goes unseen because requests came after it. */
  @Test
  void requestsBegunAfterTheBreakDoNotProveThatTheTargetLives() {
    FatalRequests guard = new FatalRequests();
    guard.begin(new Fingerprint(0), 0);
    guard.connectionBroken(new Fingerprint(0), 0);
    guard.begin(new Fingerprint(1), MILLI_NANOS);
    guard.evaluateBrokenRequests(FatalRequests.GRACE_NANOS);
    assertThat(guard.deaths()).isEqualTo(1);
    assertThat(guard.isSuspect(new Fingerprint(0), now)).isTrue();
  }

  /** Guards against requests that differ in one part but share a fingerprint. */
  @Test
  void everyPartOfTheRequestCounts() {
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

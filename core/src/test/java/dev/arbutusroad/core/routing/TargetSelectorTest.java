package dev.arbutusroad.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberState;
import dev.arbutusroad.core.membership.MemberView;
import dev.arbutusroad.core.net.Addresses;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class TargetSelectorTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final SplittableRandom random = new SplittableRandom(Long.getLong("arbutusroad.seed", 7));
  private final TargetSelector table = new TargetSelector("muscat", "muscat-a", random, 0);
  private long nowNanos = 20 * SECOND;

  /** Guards against sending a slow target as many calls as a fast one. */
  @Test
  void slowTargetGetsFewerCalls() {
    FakeView view = new FakeView(1, members(2, "muscat-a"));
    view.all().forEach(member -> table.started(member, 0));
    table.succeeded(view.all().get(0), 10 * MILLI, 0);
    table.succeeded(view.all().get(1), 100 * MILLI, 0);

    assertThat(picks(view, 1_000).getOrDefault("m1", 0)).isLessThan(300);
  }

  /** Guards against treating a target in another failure domain like a near one. */
  @Test
  void nearTargetIsPreferredWhileItIsAsFast() {
    Member near = member("near", "muscat-a");
    Member far = member("far", "muscat-b");
    FakeView view = new FakeView(1, List.of(near, far));

    assertThat(picks(view, 1_000).get("near")).isGreaterThan(700);
  }

  /** Guards against flooding a target that has just started. */
  @Test
  void coldTargetRampsUp() {
    nowNanos = 0;
    picks(new FakeView(1, members(2, "muscat-a")), 1);
    nowNanos = 2 * SlowStart.RAMP_NANOS;
    FakeView grown = new FakeView(2, members(3, "muscat-a"));

    int cold = picks(grown, 3_000).getOrDefault("m2", 0);
    nowNanos += SlowStart.RAMP_NANOS;
    int warm = picks(grown, 3_000).getOrDefault("m2", 0);

    assertThat(cold).isLessThan(warm / 2);
  }

  /** Guards against calls to a target that refuses them while another one has room. */
  @Test
  void targetsLikelyToTakeTheCallGoFirst() {
    FakeView view = new FakeView(1, members(3, "muscat-a"));
    for (int i = 0; i < 200; i++) {
      assertThat(
              table
                  .select(view, "orders", Set.of(), m -> m.id().equals("m2"), nowNanos)
                  .map(Member::id))
          .contains("m2");
      assertThat(table.select(view, "orders", Set.of("m2"), m -> m.id().equals("m2"), nowNanos))
          .isPresent();
      assertThat(table.select(view, "orders", Set.of(), m -> false, nowNanos)).isPresent();
    }
  }

  /** Guards against a service that lacks a warm target for long after its node was replaced. */
  @Test
  void rampIsOverAfterThreeSeconds() {
    nowNanos = 0;
    picks(new FakeView(1, members(2, "muscat-a")), 1);
    nowNanos = 2 * SlowStart.RAMP_NANOS;
    FakeView grown = new FakeView(2, members(3, "muscat-a"));
    picks(grown, 1);
    nowNanos += 3_000_000_000L;

    assertThat(picks(grown, 3_000).getOrDefault("m2", 0)).isBetween(800, 1_200);
  }

  /** Guards against calls to a failing target, and against ejecting all targets at once. */
  @Test
  void failingTargetsAreEjectedButNeverMoreThanHalf() {
    FakeView view = new FakeView(1, members(4, "muscat-a"));
    picks(view, 1);
    for (Member member : view.all()) {
      for (int i = 0; i < Ejection.FAILURES; i++) {
        table.started(member, nowNanos);
        table.failed(member, nowNanos);
      }
    }

    assertThat(table.dump(nowNanos).stream().filter(TargetState::ejected)).hasSize(2);
    assertThat(picks(view, 100)).doesNotContainKeys("m0", "m1");
  }

  /**
   * Guards against a target that stays out for ever, and against many calls to one on probation.
   */
  @Test
  void ejectedTargetIsProbedWithOneCall() {
    FakeView view = new FakeView(1, members(2, "muscat-a"));
    picks(view, 1);
    Member failing = view.all().get(0);
    for (int i = 0; i < Ejection.FAILURES; i++) {
      table.started(failing, nowNanos);
      table.failed(failing, nowNanos);
    }
    nowNanos += Ejection.MAX_NANOS;

    assertThat(picks(view, 100)).containsKey("m0");
    table.started(failing, nowNanos);
    assertThat(picks(view, 100)).doesNotContainKey("m0");
    table.succeeded(failing, MILLI, nowNanos);
    assertThat(picks(view, 100)).containsKey("m0");
  }

  /** Guards against ejecting targets for timeouts under overload, while they answer other calls. */
  @Test
  void timeoutsBesideAnswersEjectNothing() {
    FakeView view = new FakeView(1, members(2, "muscat-a"));
    picks(view, 1);
    for (int i = 0; i < 100; i++) {
      nowNanos += SECOND / 10;
      for (Member member : view.all()) {
        table.started(member, nowNanos);
        table.started(member, nowNanos);
        table.unanswered(member, nowNanos);
        table.answered(member, nowNanos);
      }
    }

    assertThat(table.dump(nowNanos)).noneMatch(TargetState::ejected);
  }

  /** Guards against calls to a frozen target, which answers nothing and refuses nothing. */
  @Test
  void silentTargetIsEjected() {
    FakeView view = new FakeView(1, members(2, "muscat-a"));
    picks(view, 1);
    nowNanos += TargetStats.SILENCE_NANOS;
    for (int i = 0; i < Ejection.FAILURES; i++) {
      table.started(view.all().get(0), nowNanos);
      table.unanswered(view.all().get(0), nowNanos);
    }

    assertThat(picks(view, 100)).doesNotContainKey("m0");
  }

  /** Guards against a service without a usable target: one ejected, the other on probation. */
  @Test
  void probationCountsAsOut() {
    FakeView view = new FakeView(1, members(2, "muscat-a"));
    picks(view, 1);
    fail(view.all().get(0));
    nowNanos += Ejection.MAX_NANOS;
    table.started(view.all().get(0), nowNanos);
    fail(view.all().get(1));

    assertThat(picks(view, 100)).containsOnlyKeys("m1");
  }

  private void fail(Member member) {
    for (int i = 0; i < Ejection.FAILURES; i++) {
      table.started(member, nowNanos);
      table.failed(member, nowNanos);
    }
  }

  /** Guards against a retry that goes to the target that has just failed. */
  @Test
  void excludedTargetIsNotPicked() {
    FakeView view = new FakeView(1, members(2, "muscat-a"));

    assertThat(table.select(view, "orders", Set.of("m0", "m1"), m -> true, nowNanos)).isEmpty();
    assertThat(table.select(view, "orders", Set.of("m0"), m -> true, nowNanos).map(Member::id))
        .contains("m1");
  }

  private Map<String, Integer> picks(FakeView view, int count) {
    Map<String, Integer> picks = new HashMap<>();
    for (int i = 0; i < count; i++) {
      table
          .select(view, "orders", Set.of(), m -> true, nowNanos)
          .ifPresent(member -> picks.merge(member.id(), 1, Integer::sum));
    }
    return picks;
  }

  private static List<Member> members(int count, String domain) {
    return IntStream.range(0, count).mapToObj(i -> member("m" + i, domain)).toList();
  }

  private static Member member(String id, String domain) {
    InetSocketAddress address = Addresses.of("127.0.0.1", 1);
    return new Member(id, 1, "orders", "muscat", domain, address, address, MemberState.UP, 1);
  }

  private record FakeView(long revision, List<Member> all) implements MemberView {
    @Override
    public List<Member> serving(String service) {
      return all;
    }
  }
}

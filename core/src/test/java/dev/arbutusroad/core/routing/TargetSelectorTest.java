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
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final SplittableRandom random = new SplittableRandom(Long.getLong("arbutusroad.seed", 7));
  private final TargetSelector selector = new TargetSelector("muscat", "muscat-a", random, 0);
  private long nowNanos = 20 * SECOND_NANOS;

  /** Guards against sending as many calls to a slow target as to a fast one. */
  @Test
  void slowTargetGetsFewerCalls() {
    FakeView view = new FakeView(1, members(2, "muscat-a"));
    view.all().forEach(member -> selector.started(member, 0));
    selector.succeeded(view.all().get(0), 10 * MILLI_NANOS, 0);
    selector.succeeded(view.all().get(1), 100 * MILLI_NANOS, 0);

    assertThat(selections(view, 1_000).getOrDefault("m1", 0)).isLessThan(300);
  }

  /** Guards against ignoring the failure domain of a target. */
  @Test
  void sameDomainTargetIsPreferredAtEqualLatency() {
    Member sameDomain = member("near", "muscat-a");
    Member otherDomain = member("far", "muscat-b");
    FakeView view = new FakeView(1, List.of(sameDomain, otherDomain));

    assertThat(selections(view, 1_000).get("near")).isGreaterThan(700);
  }

  /** Guards against sending a full share of calls to a target that has just started. */
  @Test
  void coldTargetRampsUp() {
    nowNanos = 0;
    selections(new FakeView(1, members(2, "muscat-a")), 1);
    nowNanos = 2 * SlowStart.RAMP_NANOS;
    FakeView grown = new FakeView(2, members(3, "muscat-a"));

    int cold = selections(grown, 3_000).getOrDefault("m2", 0);
    nowNanos += SlowStart.RAMP_NANOS;
    int warm = selections(grown, 3_000).getOrDefault("m2", 0);

    assertThat(cold).isLessThan(warm / 2);
  }

  /** Guards against calls to a target that refuses them while another target would admit them. */
  @Test
  void preferredTargetsAreSelectedFirst() {
    FakeView view = new FakeView(1, members(3, "muscat-a"));
    for (int i = 0; i < 200; i++) {
      assertThat(
              selector
                  .select(view, "orders", Set.of(), m -> m.id().equals("m2"), nowNanos)
                  .map(Member::id))
          .contains("m2");
      assertThat(selector.select(view, "orders", Set.of("m2"), m -> m.id().equals("m2"), nowNanos))
          .isPresent();
      assertThat(selector.select(view, "orders", Set.of(), m -> false, nowNanos)).isPresent();
    }
  }

  /** Guards against a ramp that withholds calls from a warm target after its node was replaced. */
  @Test
  void rampIsOverAfterThreeSeconds() {
    nowNanos = 0;
    selections(new FakeView(1, members(2, "muscat-a")), 1);
    nowNanos = 2 * SlowStart.RAMP_NANOS;
    FakeView grown = new FakeView(2, members(3, "muscat-a"));
    selections(grown, 1);
    nowNanos += 3_000_000_000L;

    assertThat(selections(grown, 3_000).getOrDefault("m2", 0)).isBetween(800, 1_200);
  }

  /**
   * Guards against calls to a failing target and against ejecting more than half of the targets.
   */
  @Test
  void failingTargetsAreEjectedButNeverMoreThanHalf() {
    FakeView view = new FakeView(1, members(4, "muscat-a"));
    selections(view, 1);
    for (Member member : view.all()) {
      for (int i = 0; i < Ejection.FAILURE_THRESHOLD; i++) {
        selector.started(member, nowNanos);
        selector.failed(member, nowNanos);
      }
    }

    assertThat(selector.dump(nowNanos).stream().filter(TargetState::ejected)).hasSize(2);
    assertThat(selections(view, 100)).doesNotContainKeys("m0", "m1");
  }

  /**
   * Guards against a target that stays ejected permanently and against concurrent calls to a target
   * on probation.
   */
  @Test
  void ejectedTargetIsProbedWithOneCall() {
    FakeView view = new FakeView(1, members(2, "muscat-a"));
    selections(view, 1);
    Member failing = view.all().get(0);
    for (int i = 0; i < Ejection.FAILURE_THRESHOLD; i++) {
      selector.started(failing, nowNanos);
      selector.failed(failing, nowNanos);
    }
    nowNanos += Ejection.MAX_EJECTION_NANOS;

    assertThat(selections(view, 100)).containsKey("m0");
    selector.started(failing, nowNanos);
    assertThat(selections(view, 100)).doesNotContainKey("m0");
    selector.succeeded(failing, MILLI_NANOS, nowNanos);
    assertThat(selections(view, 100)).containsKey("m0");
  }

  /** Guards against ejecting overloaded targets for timeouts while they answer other calls. */
  @Test
  void timeoutsDoNotEjectTargetsThatAnswerOtherCalls() {
    FakeView view = new FakeView(1, members(2, "muscat-a"));
    selections(view, 1);
    for (int i = 0; i < 100; i++) {
      nowNanos += SECOND_NANOS / 10;
      for (Member member : view.all()) {
        selector.started(member, nowNanos);
        selector.started(member, nowNanos);
        selector.unanswered(member, nowNanos);
        selector.answered(member, nowNanos);
      }
    }

    assertThat(selector.dump(nowNanos)).noneMatch(TargetState::ejected);
  }

  /** Guards against calls to a frozen target, which neither answers nor refuses calls. */
  @Test
  void unresponsiveTargetIsEjected() {
    FakeView view = new FakeView(1, members(2, "muscat-a"));
    selections(view, 1);
    nowNanos += TargetStats.UNRESPONSIVE_NANOS;
    for (int i = 0; i < Ejection.FAILURE_THRESHOLD; i++) {
      selector.started(view.all().get(0), nowNanos);
      selector.unanswered(view.all().get(0), nowNanos);
    }

    assertThat(selections(view, 100)).doesNotContainKey("m0");
  }

  /** Guards against ejecting the only other target while one is on probation. */
  @Test
  void targetOnProbationCountsAsUnavailable() {
    FakeView view = new FakeView(1, members(2, "muscat-a"));
    selections(view, 1);
    failUntilEjected(view.all().get(0));
    nowNanos += Ejection.MAX_EJECTION_NANOS;
    selector.started(view.all().get(0), nowNanos);
    failUntilEjected(view.all().get(1));

    assertThat(selections(view, 100)).containsOnlyKeys("m1");
  }

  private void failUntilEjected(Member member) {
    for (int i = 0; i < Ejection.FAILURE_THRESHOLD; i++) {
      selector.started(member, nowNanos);
      selector.failed(member, nowNanos);
    }
  }

  /** Guards against a retry at a target that has just failed. */
  @Test
  void excludedTargetIsNotSelected() {
    FakeView view = new FakeView(1, members(2, "muscat-a"));

    assertThat(selector.select(view, "orders", Set.of("m0", "m1"), m -> true, nowNanos)).isEmpty();
    assertThat(selector.select(view, "orders", Set.of("m0"), m -> true, nowNanos).map(Member::id))
        .contains("m1");
  }

  private Map<String, Integer> selections(FakeView view, int count) {
    Map<String, Integer> selections = new HashMap<>();
    for (int i = 0; i < count; i++) {
      selector
          .select(view, "orders", Set.of(), m -> true, nowNanos)
          .ifPresent(member -> selections.merge(member.id(), 1, Integer::sum));
    }
    return selections;
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

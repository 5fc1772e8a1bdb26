package dev.arbutusroad.core.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Iterates over the members in rounds, each in a new random order, as in SWIM. */
final class ProbeOrder {
  private final MemberTable table;
  private final RandomGenerator random;
  private List<String> round = new ArrayList<>();

  ProbeOrder(MemberTable table, RandomGenerator random) {
    this.table = table;
    this.random = random;
  }

  /** Returns the next member that is not dead, or empty when there is no other live member. */
  Optional<Member> next() {
    Optional<Member> found = nextOfRound();
    if (found.isEmpty()) {
      round = new ArrayList<>(table.livePeerIds());
      shuffle();
      found = nextOfRound();
    }
    return found;
  }

  private Optional<Member> nextOfRound() {
    while (!round.isEmpty()) {
      Optional<Member> member =
          table
              .get(round.remove(round.size() - 1))
              .filter(candidate -> candidate.state() != MemberState.DEAD);
      if (member.isPresent()) {
        return member;
      }
    }
    return Optional.empty();
  }

  private void shuffle() {
    for (int i = round.size() - 1; i > 0; i--) {
      Collections.swap(round, i, random.nextInt(i + 1));
    }
  }
}

package dev.arbutusroad.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A member view that is computed once from the records of a table. */
final class MemberSnapshot implements MemberView {
  private final long revision;
  private final List<Member> all;
  private final Map<String, List<Member>> servingByService = new HashMap<>();

  MemberSnapshot(long revision, Collection<Member> members) {
    this.revision = revision;
    all =
        members.stream()
            .filter(member -> member.state() != MemberState.DEAD)
            .sorted(Comparator.comparing(Member::id))
            .toList();
    for (Member member : all) {
      if (member.state().isServing() && !member.service().isEmpty()) {
        servingByService.computeIfAbsent(member.service(), name -> new ArrayList<>()).add(member);
      }
    }
    servingByService.replaceAll((name, serving) -> List.copyOf(serving));
  }

  @Override
  public long revision() {
    return revision;
  }

  @Override
  public List<Member> serving(String service) {
    return servingByService.getOrDefault(service, List.of());
  }

  @Override
  public List<Member> all() {
    return all;
  }
}

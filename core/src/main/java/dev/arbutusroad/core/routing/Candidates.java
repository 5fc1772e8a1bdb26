package dev.arbutusroad.core.routing;

import dev.arbutusroad.core.membership.Member;
import java.util.List;

/**
 * The targets of one service in one revision of the member view.
 *
 * @param revision the revision of the view
 * @param all every serving member of the service
 * @param sameDomain the members of {@code all} in this node's failure domain
 */
record Candidates(long revision, List<Member> all, List<Member> sameDomain) {
  Candidates {
    all = List.copyOf(all);
    sameDomain = List.copyOf(sameDomain);
  }
}

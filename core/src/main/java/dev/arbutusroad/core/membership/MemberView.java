package dev.arbutusroad.core.membership;

import java.util.List;

/** An immutable snapshot of the members that one node knows. */
public interface MemberView {
  /** Returns a number that increases with every change of the view. */
  long revision();

  /** Returns the members whose targets take new calls for a service, sorted by id. */
  List<Member> serving(String service);

  /** Returns all members that are not dead, including this node, sorted by id. */
  List<Member> all();
}

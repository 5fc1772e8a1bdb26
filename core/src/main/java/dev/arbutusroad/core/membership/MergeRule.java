package dev.arbutusroad.core.membership;

import java.util.Optional;

/**
 * Decides whether and how a received record of another member replaces the known one.
 *
 * <p>A higher incarnation wins; at the same incarnation the state later in the life cycle wins.
 * Only the member itself raises its incarnation, except that its death may be reported under an
 * incarnation that the receiver has not seen yet. Records in the states {@code SUSPECT}, {@code
 * LEAVING} and {@code DEAD} are encoded without addresses and service, so they apply to known
 * members only.
 */
final class MergeRule {
  private MergeRule() {}

  /** Returns the record that replaces the known one, or empty when nothing changes. */
  static Optional<Member> merge(Optional<Member> known, Member update) {
    if (known.isEmpty()) {
      return carriesAddresses(update.state()) ? Optional.of(update) : Optional.empty();
    }
    Member old = known.get();
    if (!supersedes(update, old)) {
      return Optional.empty();
    }
    if (carriesAddresses(update.state())) {
      return Optional.of(update);
    }
    if (update.state() == MemberState.SUSPECT
        && (update.incarnation() != old.incarnation() || old.state() != MemberState.UP)) {
      return Optional.empty();
    }
    return Optional.of(old.withIncarnation(update.incarnation()).withState(update.state()));
  }

  /** Returns whether records in a state carry the member's addresses and service on the wire. */
  static boolean carriesAddresses(MemberState state) {
    return state == MemberState.JOINING || state == MemberState.UP;
  }

  private static boolean supersedes(Member update, Member known) {
    return update.incarnation() > known.incarnation()
        || (update.incarnation() == known.incarnation()
            && update.state().compareTo(known.state()) > 0);
  }
}

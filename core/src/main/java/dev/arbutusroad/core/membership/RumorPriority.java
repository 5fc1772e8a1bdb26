package dev.arbutusroad.core.membership;

/** The priority of changes when the byte budget is exhausted. */
enum RumorPriority {
  /** Must reach every node within seconds, such as leaving or a new configuration version. */
  URGENT,
  NORMAL;

  /** Returns the priority of a change to the given state. */
  static RumorPriority of(MemberState state) {
    return state == MemberState.LEAVING ? URGENT : NORMAL;
  }
}

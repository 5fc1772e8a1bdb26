package dev.arbutusroad.core.membership;

/** The states in the life cycle of a member, in the order in which they supersede each other. */
public enum MemberState {
  /** Started, but no target is announced: gets no calls. */
  JOINING,
  /** Its target takes calls. */
  UP,
  /** Failed to acknowledge a probe; still gets calls until it is declared dead. */
  SUSPECT,
  /** Finishes the calls in progress and gets no new ones. */
  LEAVING,
  /** Has ended or does not respond. */
  DEAD;

  /** Returns whether new calls may be sent to a member in this state. */
  public boolean isServing() {
    return this == UP || this == SUSPECT;
  }
}

package dev.arbutusroad.core.membership;

/** Identifies a change that is being disseminated; its content is looked up when it is sent. */
sealed interface RumorKey {
  /** A change of a member. */
  record OfMember(String id) implements RumorKey {}

  /** A change of a request fingerprint. */
  record OfFingerprint(long value) implements RumorKey {}

  /** A new configuration version; each datagram carries it in its header. */
  record OfConfiguration() implements RumorKey {}
}

package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.membership.FingerprintReport;

/** Receives reports about request fingerprints. Called on the membership thread. */
@FunctionalInterface
public interface FingerprintListener {
  /** Handles a report of this node or a peer that was not known to this node. */
  void onFingerprint(FingerprintReport report);
}

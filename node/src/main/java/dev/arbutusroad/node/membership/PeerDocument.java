package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.membership.AdvertisedConfiguration;
import java.util.Objects;

/**
 * A configuration document that was fetched from a peer.
 *
 * @param mark its version and confirmation age
 * @param document the document
 */
public record PeerDocument(AdvertisedConfiguration mark, String document) {
  public PeerDocument {
    Objects.requireNonNull(mark, "mark");
    Objects.requireNonNull(document, "document");
  }
}

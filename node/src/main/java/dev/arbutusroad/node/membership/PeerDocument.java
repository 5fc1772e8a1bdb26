package dev.arbutusroad.node.membership;

import dev.arbutusroad.core.membership.AdvertisedConfiguration;
import java.util.Objects;

/**
 * A configuration document that was fetched from a peer.
 *
 * @param advertised the version of the document and its confirmation age at the peer
 * @param document the text of the document
 */
public record PeerDocument(AdvertisedConfiguration advertised, String document) {
  public PeerDocument {
    Objects.requireNonNull(advertised, "advertised");
    Objects.requireNonNull(document, "document");
  }
}

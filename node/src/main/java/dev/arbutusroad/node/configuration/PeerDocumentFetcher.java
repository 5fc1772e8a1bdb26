package dev.arbutusroad.node.configuration;

import dev.arbutusroad.node.membership.PeerDocument;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Fetches configuration documents from peers. */
@FunctionalInterface
public interface PeerDocumentFetcher {
  /**
   * Requests a peer's document.
   *
   * @param minVersion the lowest acceptable version
   * @return the document, or empty if the peer has no such version
   */
  CompletableFuture<Optional<PeerDocument>> fetch(InetSocketAddress peer, long minVersion);
}

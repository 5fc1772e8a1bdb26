package dev.arbutusroad.node.configuration;

import dev.arbutusroad.node.membership.PeerDocument;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Fetches configuration documents from peers. */
@FunctionalInterface
public interface PeerDocumentFetcher {
  /**
   * Asks a peer for its document.
   *
   * @param leastVersion the least version that is of use
   * @return the document; empty when the peer has none of that version
   */
  CompletableFuture<Optional<PeerDocument>> fetch(InetSocketAddress peer, long leastVersion);
}

package dev.arbutusroad.wire;

import dev.arbutusroad.core.membership.AdvertisedConfiguration;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.StateReply;
import dev.arbutusroad.core.membership.StateRequest;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;

/** One frame of a TCP connection between nodes. */
public sealed interface Frame {
  /** Opens the handshake; sent by the accepting side. */
  record Challenge(ByteBuffer nonce) implements Frame {}

  /** Answers the challenge and proves that the connecting side knows the shared secret. */
  record Hello(String sender, ByteBuffer nonce, ByteBuffer mac) implements Frame {}

  /** Ends the handshake and proves that the accepting side knows the shared secret. */
  record Welcome(String sender, ByteBuffer mac) implements Frame {}

  /** Starts an anti-entropy exchange of membership state. */
  record ExchangeRequest(StateRequest request) implements Frame {}

  /** Answers an {@link ExchangeRequest}. */
  record ExchangeReply(StateReply reply) implements Frame {}

  /** Ends an exchange with the member records that the accepting side lacks. */
  record ExchangePush(List<Member> members) implements Frame {
    public ExchangePush {
      members = List.copyOf(members);
    }
  }

  /** Requests the configuration document of at least the given version; 0 means any version. */
  record DocumentRequest(long leastVersion) implements Frame {}

  /** Answers a {@link DocumentRequest}; without a document if the node lacks such a version. */
  record DocumentReply(AdvertisedConfiguration configuration, Optional<String> document)
      implements Frame {}
}

package dev.arbutusroad.wire;

import dev.arbutusroad.core.membership.ConfigurationMark;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.StateReply;
import dev.arbutusroad.core.membership.StateRequest;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;

/** One frame of a TCP connection between nodes. */
public sealed interface Frame {
  /** Opens a connection, from the accepting side. */
  record Challenge(ByteBuffer nonce) implements Frame {}

  /** Proves that the connecting side knows the secret. */
  record Hello(String sender, ByteBuffer nonce, ByteBuffer mac) implements Frame {}

  /** Proves that the accepting side knows the secret. */
  record Welcome(String sender, ByteBuffer mac) implements Frame {}

  /** Opens a state exchange. */
  record ExchangeRequest(StateRequest request) implements Frame {}

  /** Answers a state exchange. */
  record ExchangeReply(StateReply reply) implements Frame {}

  /** Ends a state exchange with what the accepting side lacks. */
  record ExchangePush(List<Member> members) implements Frame {
    public ExchangePush {
      members = List.copyOf(members);
    }
  }

  /** Asks for the configuration document of at least a version; 0 for any. */
  record DocumentRequest(long leastVersion) implements Frame {}

  /** Answers with the document, or with none when the version is not there. */
  record DocumentReply(ConfigurationMark mark, Optional<String> document) implements Frame {}
}

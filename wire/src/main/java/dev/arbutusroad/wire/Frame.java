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
  /** Opens a connection, from the accepting side. */
  record Challenge(ByteBuffer nonce) implements Frame {}

  /** Proves that the connecting side knows the secret. */
  record Hello(String sender, ByteBuffer nonce, ByteBuffer mac) implements Frame {}

  /** Proves that the accepting side knows the secret. */
  record Welcome(String sender, ByteBuffer mac) implements Frame {}

  /** Opens a state exchange. */
  record OpenState(StateRequest request) implements Frame {}

  /** Answers a state exchange. */
  record AnswerState(StateReply reply) implements Frame {}

  /** Ends a state exchange with what the accepting side lacks. */
  record PushState(List<Member> members) implements Frame {
    public PushState {
      members = List.copyOf(members);
    }
  }

  /** Asks for the configuration document of at least a version; 0 for any. */
  record AskDocument(long leastVersion) implements Frame {}

  /** Answers with the document, or with none when the version is not there. */
  record GiveDocument(AdvertisedConfiguration mark, Optional<String> document) implements Frame {}
}

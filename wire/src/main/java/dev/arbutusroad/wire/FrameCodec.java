package dev.arbutusroad.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import dev.arbutusroad.core.membership.StateReply;
import dev.arbutusroad.core.membership.StateRequest;
import dev.arbutusroad.wire.proto.ChallengeMessage;
import dev.arbutusroad.wire.proto.DocumentReplyMessage;
import dev.arbutusroad.wire.proto.DocumentRequestMessage;
import dev.arbutusroad.wire.proto.FrameMessage;
import dev.arbutusroad.wire.proto.HelloMessage;
import dev.arbutusroad.wire.proto.StatePushMessage;
import dev.arbutusroad.wire.proto.StateReplyMessage;
import dev.arbutusroad.wire.proto.StateRequestMessage;
import dev.arbutusroad.wire.proto.WelcomeMessage;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Encodes and decodes the frames of a TCP connection, without their length and MAC. */
public final class FrameCodec {
  private FrameCodec() {}

  /** Encodes a frame. */
  public static byte[] encode(Frame frame) {
    FrameMessage.Builder builder = FrameMessage.newBuilder();
    if (frame instanceof Frame.Challenge challenge) {
      builder.setChallenge(ChallengeMessage.newBuilder().setNonce(toByteString(challenge.nonce())));
    } else if (frame instanceof Frame.Hello hello) {
      builder.setHello(
          HelloMessage.newBuilder()
              .setSender(hello.sender())
              .setNonce(toByteString(hello.nonce()))
              .setMac(toByteString(hello.mac())));
    } else if (frame instanceof Frame.Welcome welcome) {
      builder.setWelcome(
          WelcomeMessage.newBuilder()
              .setSender(welcome.sender())
              .setMac(toByteString(welcome.mac())));
    } else if (frame instanceof Frame.ExchangeRequest exchange) {
      builder.setStateRequest(toMessage(exchange.request()));
    } else if (frame instanceof Frame.ExchangeReply exchange) {
      builder.setStateReply(toMessage(exchange.reply()));
    } else if (frame instanceof Frame.ExchangePush push) {
      StatePushMessage.Builder members = StatePushMessage.newBuilder();
      push.members().forEach(member -> members.addMembers(MessageConverter.toMessage(member)));
      builder.setStatePush(members);
    } else if (frame instanceof Frame.DocumentRequest request) {
      builder.setDocumentRequest(
          DocumentRequestMessage.newBuilder().setLeastVersion(request.leastVersion()));
    } else if (frame instanceof Frame.DocumentReply reply) {
      builder.setDocumentReply(
          DocumentReplyMessage.newBuilder()
              .setFound(reply.document().isPresent())
              .setVersion(reply.configuration().version())
              .setConfirmationAgeMillis(reply.configuration().confirmationAgeMillis())
              .setDocument(reply.document().orElse("")));
    }
    return builder.build().toByteArray();
  }

  /**
   * Decodes a frame.
   *
   * @throws MalformedMessageException if the bytes are not a frame or exceed a limit
   */
  public static Frame decode(byte[] bytes) throws MalformedMessageException {
    FrameMessage message;
    try {
      message = FrameMessage.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedMessageException("frame is not valid protobuf", e);
    }
    return switch (message.getBodyCase()) {
      case CHALLENGE -> new Frame.Challenge(toBuffer(message.getChallenge().getNonce()));
      case HELLO -> toHello(message.getHello());
      case WELCOME ->
          new Frame.Welcome(
              MessageConverter.checkId(message.getWelcome().getSender()),
              toBuffer(message.getWelcome().getMac()));
      case STATE_REQUEST -> new Frame.ExchangeRequest(toRequest(message.getStateRequest()));
      case STATE_REPLY -> new Frame.ExchangeReply(toReply(message.getStateReply()));
      case STATE_PUSH ->
          new Frame.ExchangePush(
              MessageConverter.toMembers(
                  message.getStatePush().getMembersList(), MessageLimits.MAX_MEMBERS_IN_STATE));
      case DOCUMENT_REQUEST ->
          new Frame.DocumentRequest(
              MessageConverter.checkNonNegative(
                  message.getDocumentRequest().getLeastVersion(), "version"));
      case DOCUMENT_REPLY -> toDocumentReply(message.getDocumentReply());
      case BODY_NOT_SET -> throw new MalformedMessageException("frame has no body");
    };
  }

  private static Frame toHello(HelloMessage message) throws MalformedMessageException {
    return new Frame.Hello(
        MessageConverter.checkId(message.getSender()),
        toBuffer(message.getNonce()),
        toBuffer(message.getMac()));
  }

  private static Frame toDocumentReply(DocumentReplyMessage message)
      throws MalformedMessageException {
    return new Frame.DocumentReply(
        MessageConverter.toAdvertisedConfiguration(
            message.getVersion(), message.getConfirmationAgeMillis()),
        message.getFound() ? Optional.of(message.getDocument()) : Optional.empty());
  }

  private static StateRequestMessage toMessage(StateRequest request) {
    StateRequestMessage.Builder builder =
        StateRequestMessage.newBuilder()
            .setSelf(MessageConverter.toMessage(request.self()))
            .addAllDigests(request.digests())
            .setConfigurationVersion(request.configuration().version())
            .setConfirmationAgeMillis(request.configuration().confirmationAgeMillis());
    request
        .fingerprints()
        .forEach(report -> builder.addFingerprints(MessageConverter.toMessage(report)));
    return builder.build();
  }

  private static StateRequest toRequest(StateRequestMessage message)
      throws MalformedMessageException {
    MessageConverter.checkAtMost(message.getDigestsCount(), MessageLimits.MAX_BUCKETS, "digests");
    return new StateRequest(
        MessageConverter.toMember(message.getSelf()),
        message.getDigestsList(),
        MessageConverter.toAdvertisedConfiguration(
            message.getConfigurationVersion(), message.getConfirmationAgeMillis()),
        MessageConverter.toReports(
            message.getFingerprintsList(), MessageLimits.MAX_FINGERPRINTS_IN_STATE));
  }

  private static StateReplyMessage toMessage(StateReply reply) {
    StateReplyMessage.Builder builder =
        StateReplyMessage.newBuilder()
            .setSelf(MessageConverter.toMessage(reply.self()))
            .addAllBuckets(reply.buckets())
            .setConfigurationVersion(reply.configuration().version())
            .setConfirmationAgeMillis(reply.configuration().confirmationAgeMillis());
    reply.members().forEach(member -> builder.addMembers(MessageConverter.toMessage(member)));
    reply
        .fingerprints()
        .forEach(report -> builder.addFingerprints(MessageConverter.toMessage(report)));
    return builder.build();
  }

  private static StateReply toReply(StateReplyMessage message) throws MalformedMessageException {
    MessageConverter.checkAtMost(message.getBucketsCount(), MessageLimits.MAX_BUCKETS, "buckets");
    return new StateReply(
        MessageConverter.toMember(message.getSelf()),
        message.getBucketsList(),
        MessageConverter.toMembers(message.getMembersList(), MessageLimits.MAX_MEMBERS_IN_STATE),
        MessageConverter.toAdvertisedConfiguration(
            message.getConfigurationVersion(), message.getConfirmationAgeMillis()),
        MessageConverter.toReports(
            message.getFingerprintsList(), MessageLimits.MAX_FINGERPRINTS_IN_STATE));
  }

  private static ByteBuffer toBuffer(ByteString bytes) throws MalformedMessageException {
    MessageConverter.checkAtMost(
        bytes.size(), MessageLimits.MAX_NONCE_BYTES, "bytes of a nonce or MAC");
    return bytes.asReadOnlyByteBuffer();
  }

  private static ByteString toByteString(ByteBuffer buffer) {
    return ByteString.copyFrom(buffer.duplicate());
  }
}

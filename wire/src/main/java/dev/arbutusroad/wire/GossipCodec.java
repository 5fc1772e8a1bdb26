package dev.arbutusroad.wire;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import dev.arbutusroad.core.membership.Gossip;
import dev.arbutusroad.core.membership.GossipKind;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.wire.proto.GossipKindMessage;
import dev.arbutusroad.wire.proto.GossipMessage;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Encodes and decodes gossip datagrams. */
public final class GossipCodec {
  private GossipCodec() {}

  /** Encodes a datagram without its MAC. */
  public static byte[] encode(Gossip gossip) {
    GossipMessage.Builder builder =
        GossipMessage.newBuilder()
            .setKind(toMessage(gossip.kind()))
            .setSender(gossip.sender())
            .setCounter(gossip.counter())
            .setSequence(gossip.sequence())
            .setTarget(gossip.target())
            .setConfigurationVersion(gossip.configuration().version())
            .setConfirmationAgeMillis(gossip.configuration().confirmationAgeMillis());
    gossip.targetAddress().map(MessageConverter::toMessage).ifPresent(builder::setTargetAddress);
    gossip.members().forEach(member -> builder.addMembers(MessageConverter.toMessage(member)));
    gossip
        .fingerprints()
        .forEach(report -> builder.addFingerprints(MessageConverter.toMessage(report)));
    return builder.build().toByteArray();
  }

  /**
   * Decodes a datagram without its MAC.
   *
   * @throws MalformedMessageException if the bytes are not a gossip datagram or exceed a limit
   */
  public static Gossip decode(ByteBuffer bytes) throws MalformedMessageException {
    GossipMessage message;
    try {
      message = GossipMessage.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new MalformedMessageException("datagram is not valid protobuf", e);
    }
    Optional<InetSocketAddress> targetAddress =
        message.hasTargetAddress()
            ? Optional.of(MessageConverter.toAddress(message.getTargetAddress()))
            : Optional.empty();
    return new Gossip(
        toKind(message.getKind()),
        MessageConverter.checkId(message.getSender()),
        MessageConverter.checkNonNegative(message.getCounter(), "counter"),
        MessageConverter.checkNonNegative(message.getSequence(), "sequence"),
        MessageConverter.checkOptionalId(message.getTarget()),
        targetAddress,
        MessageConverter.toAdvertisedConfiguration(
            message.getConfigurationVersion(), message.getConfirmationAgeMillis()),
        MessageConverter.toMembers(message.getMembersList(), MessageLimits.MAX_MEMBERS_IN_DATAGRAM),
        MessageConverter.toReports(
            message.getFingerprintsList(), MessageLimits.MAX_FINGERPRINTS_IN_DATAGRAM));
  }

  /** Returns the number of bytes that a member record takes in a datagram. */
  public static int memberBytes(Member member) {
    return CodedOutputStream.computeMessageSize(
        GossipMessage.MEMBERS_FIELD_NUMBER, MessageConverter.toMessage(member));
  }

  private static GossipKindMessage toMessage(GossipKind kind) {
    return switch (kind) {
      case PROBE -> GossipKindMessage.GOSSIP_KIND_PROBE;
      case ACK -> GossipKindMessage.GOSSIP_KIND_ACK;
      case INDIRECT_PROBE -> GossipKindMessage.GOSSIP_KIND_INDIRECT_PROBE;
      case UPDATE -> GossipKindMessage.GOSSIP_KIND_UPDATE;
    };
  }

  private static GossipKind toKind(GossipKindMessage message) throws MalformedMessageException {
    return switch (message) {
      case GOSSIP_KIND_PROBE -> GossipKind.PROBE;
      case GOSSIP_KIND_ACK -> GossipKind.ACK;
      case GOSSIP_KIND_INDIRECT_PROBE -> GossipKind.INDIRECT_PROBE;
      case GOSSIP_KIND_UPDATE -> GossipKind.UPDATE;
      case GOSSIP_KIND_UNSPECIFIED, UNRECOGNIZED ->
          throw new MalformedMessageException("unknown kind of gossip");
    };
  }
}

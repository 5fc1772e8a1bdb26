package dev.arbutusroad.wire;

import com.google.protobuf.ByteString;
import dev.arbutusroad.core.membership.AdvertisedConfiguration;
import dev.arbutusroad.core.membership.FingerprintKind;
import dev.arbutusroad.core.membership.FingerprintReport;
import dev.arbutusroad.core.membership.Member;
import dev.arbutusroad.core.membership.MemberState;
import dev.arbutusroad.wire.proto.AddressMessage;
import dev.arbutusroad.wire.proto.FingerprintKindMessage;
import dev.arbutusroad.wire.proto.FingerprintMessage;
import dev.arbutusroad.wire.proto.MemberMessage;
import dev.arbutusroad.wire.proto.MemberStateMessage;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;

/** Converts the parts that several messages share, and checks their limits. */
final class MessageConverter {
  /** Placeholder in member records that are sent without addresses. */
  private static final InetSocketAddress NO_ADDRESS = new InetSocketAddress(0);

  private static final int MAX_PORT = 65_535;

  private MessageConverter() {}

  static MemberMessage toMessage(Member member) {
    MemberMessage.Builder builder =
        MemberMessage.newBuilder()
            .setId(member.id())
            .setIncarnation(member.incarnation())
            .setState(toMessage(member.state()));
    if (isSentWithAddresses(member.state())) {
      builder
          .setService(member.service())
          .setRegion(member.region())
          .setFailureDomain(member.failureDomain())
          .setCallerAddress(toMessage(member.callerAddress()))
          .setPeerAddress(toMessage(member.peerAddress()))
          .setConfigurationVersion(member.configurationVersion());
    }
    return builder.build();
  }

  static Member toMember(MemberMessage message) throws MalformedMessageException {
    MemberState state = toState(message.getState());
    boolean hasAddresses = isSentWithAddresses(state);
    return new Member(
        checkId(message.getId()),
        checkNonNegative(message.getIncarnation(), "incarnation"),
        checkName(message.getService(), "service"),
        checkName(message.getRegion(), "region"),
        checkName(message.getFailureDomain(), "failure domain"),
        hasAddresses ? toAddress(message.getCallerAddress()) : NO_ADDRESS,
        hasAddresses ? toAddress(message.getPeerAddress()) : NO_ADDRESS,
        state,
        checkNonNegative(message.getConfigurationVersion(), "configuration version"));
  }

  static List<Member> toMembers(List<MemberMessage> messages, int limit)
      throws MalformedMessageException {
    checkAtMost(messages.size(), limit, "members");
    List<Member> members = new ArrayList<>(messages.size());
    for (MemberMessage message : messages) {
      members.add(toMember(message));
    }
    return members;
  }

  static FingerprintMessage toMessage(FingerprintReport report) {
    return FingerprintMessage.newBuilder()
        .setValue(report.value())
        .setKind(toMessage(report.kind()))
        .setCount(report.count())
        .setAgeMillis(report.ageMillis())
        .build();
  }

  static List<FingerprintReport> toReports(List<FingerprintMessage> messages, int limit)
      throws MalformedMessageException {
    checkAtMost(messages.size(), limit, "fingerprints");
    List<FingerprintReport> reports = new ArrayList<>(messages.size());
    for (FingerprintMessage message : messages) {
      reports.add(
          new FingerprintReport(
              message.getValue(),
              toKind(message.getKind()),
              (int) checkNonNegative(message.getCount(), "count"),
              checkNonNegative(message.getAgeMillis(), "age")));
    }
    return reports;
  }

  static AdvertisedConfiguration toAdvertisedConfiguration(long version, long ageMillis)
      throws MalformedMessageException {
    return new AdvertisedConfiguration(
        checkNonNegative(version, "configuration version"),
        checkNonNegative(ageMillis, "confirmation age"));
  }

  static AddressMessage toMessage(InetSocketAddress address) {
    return AddressMessage.newBuilder()
        .setIp(ByteString.copyFrom(address.getAddress().getAddress()))
        .setPort(address.getPort())
        .build();
  }

  static InetSocketAddress toAddress(AddressMessage message) throws MalformedMessageException {
    int port = message.getPort();
    if (port <= 0 || port > MAX_PORT) {
      throw new MalformedMessageException("port " + port + " is out of range");
    }
    try {
      return new InetSocketAddress(InetAddress.getByAddress(message.getIp().toByteArray()), port);
    } catch (UnknownHostException e) {
      throw new MalformedMessageException("an IP address must have 4 or 16 bytes", e);
    }
  }

  static String checkId(String id) throws MalformedMessageException {
    if (id.isEmpty()) {
      throw new MalformedMessageException("member id is empty");
    }
    return checkText(id, MessageLimits.MAX_ID_LENGTH, "member id");
  }

  static String checkOptionalId(String id) throws MalformedMessageException {
    return checkText(id, MessageLimits.MAX_ID_LENGTH, "member id");
  }

  static void checkAtMost(int count, int limit, String description)
      throws MalformedMessageException {
    if (count > limit) {
      throw new MalformedMessageException(
          count + " " + description + " exceed the limit of " + limit);
    }
  }

  static long checkNonNegative(long value, String description) throws MalformedMessageException {
    if (value < 0) {
      throw new MalformedMessageException(description + " is out of range");
    }
    return value;
  }

  private static String checkName(String name, String description)
      throws MalformedMessageException {
    return checkText(name, MessageLimits.MAX_NAME_LENGTH, description);
  }

  /** Allows printable ASCII without spaces only, since names appear in log lines and metrics. */
  private static String checkText(String text, int limit, String description)
      throws MalformedMessageException {
    checkAtMost(text.length(), limit, "characters of a " + description);
    if (!text.chars().allMatch(c -> c > ' ' && c <= '~')) {
      throw new MalformedMessageException(
          "a " + description + " has a character that is not printable");
    }
    return text;
  }

  private static boolean isSentWithAddresses(MemberState state) {
    return state == MemberState.JOINING || state == MemberState.UP;
  }

  private static MemberStateMessage toMessage(MemberState state) {
    return switch (state) {
      case JOINING -> MemberStateMessage.MEMBER_STATE_JOINING;
      case UP -> MemberStateMessage.MEMBER_STATE_UP;
      case SUSPECT -> MemberStateMessage.MEMBER_STATE_SUSPECT;
      case LEAVING -> MemberStateMessage.MEMBER_STATE_LEAVING;
      case DEAD -> MemberStateMessage.MEMBER_STATE_DEAD;
    };
  }

  private static MemberState toState(MemberStateMessage message) throws MalformedMessageException {
    return switch (message) {
      case MEMBER_STATE_JOINING -> MemberState.JOINING;
      case MEMBER_STATE_UP -> MemberState.UP;
      case MEMBER_STATE_SUSPECT -> MemberState.SUSPECT;
      case MEMBER_STATE_LEAVING -> MemberState.LEAVING;
      case MEMBER_STATE_DEAD -> MemberState.DEAD;
      case MEMBER_STATE_UNSPECIFIED, UNRECOGNIZED ->
          throw new MalformedMessageException("unknown member state");
    };
  }

  private static FingerprintKindMessage toMessage(FingerprintKind kind) {
    return switch (kind) {
      case SUSPECT -> FingerprintKindMessage.FINGERPRINT_KIND_SUSPECT;
      case CLEARED -> FingerprintKindMessage.FINGERPRINT_KIND_CLEARED;
      case MARKED -> FingerprintKindMessage.FINGERPRINT_KIND_MARKED;
    };
  }

  private static FingerprintKind toKind(FingerprintKindMessage message)
      throws MalformedMessageException {
    return switch (message) {
      case FINGERPRINT_KIND_SUSPECT -> FingerprintKind.SUSPECT;
      case FINGERPRINT_KIND_CLEARED -> FingerprintKind.CLEARED;
      case FINGERPRINT_KIND_MARKED -> FingerprintKind.MARKED;
      case FINGERPRINT_KIND_UNSPECIFIED, UNRECOGNIZED ->
          throw new MalformedMessageException("unknown fingerprint kind");
    };
  }
}

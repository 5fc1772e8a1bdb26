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

/** Maps the parts that several messages share, and checks their bounds. */
final class MessageConverter {
  /** Stands in for the addresses of records that travel without them. */
  private static final InetSocketAddress NO_ADDRESS = new InetSocketAddress(0);

  private static final int MAX_PORT = 65_535;

  private MessageConverter() {}

  static MemberMessage toMessage(Member member) {
    MemberMessage.Builder builder =
        MemberMessage.newBuilder()
            .setId(member.id())
            .setIncarnation(member.incarnation())
            .setState(toMessage(member.state()));
    if (carriesAddresses(member.state())) {
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
    boolean full = carriesAddresses(state);
    return new Member(
        id(message.getId()),
        nonNegative(message.getIncarnation(), "incarnation"),
        name(message.getService(), "service"),
        name(message.getRegion(), "region"),
        name(message.getFailureDomain(), "failure domain"),
        full ? toAddress(message.getCallerAddress()) : NO_ADDRESS,
        full ? toAddress(message.getPeerAddress()) : NO_ADDRESS,
        state,
        nonNegative(message.getConfigurationVersion(), "configuration version"));
  }

  static List<Member> toMembers(List<MemberMessage> messages, int limit)
      throws MalformedMessageException {
    atMost(messages.size(), limit, "members");
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
    atMost(messages.size(), limit, "fingerprints");
    List<FingerprintReport> reports = new ArrayList<>(messages.size());
    for (FingerprintMessage message : messages) {
      reports.add(
          new FingerprintReport(
              message.getValue(),
              toKind(message.getKind()),
              (int) nonNegative(message.getCount(), "count"),
              nonNegative(message.getAgeMillis(), "age")));
    }
    return reports;
  }

  static AdvertisedConfiguration toMark(long version, long ageMillis)
      throws MalformedMessageException {
    return new AdvertisedConfiguration(
        nonNegative(version, "configuration version"), nonNegative(ageMillis, "confirmation age"));
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
      throw new MalformedMessageException("an IP address has 4 or 16 bytes", e);
    }
  }

  static String id(String id) throws MalformedMessageException {
    if (id.isEmpty()) {
      throw new MalformedMessageException("a member id is empty");
    }
    return bounded(id, Limits.MAX_ID_LENGTH, "member id");
  }

  static String optionalId(String id) throws MalformedMessageException {
    return bounded(id, Limits.MAX_ID_LENGTH, "member id");
  }

  static void atMost(int count, int limit, String what) throws MalformedMessageException {
    if (count > limit) {
      throw new MalformedMessageException(count + " " + what + " exceed the limit of " + limit);
    }
  }

  static long nonNegative(long value, String what) throws MalformedMessageException {
    if (value < 0) {
      throw new MalformedMessageException(what + " is out of range");
    }
    return value;
  }

  private static String name(String name, String what) throws MalformedMessageException {
    return bounded(name, Limits.MAX_NAME_LENGTH, what);
  }

  /** Printable ASCII only, since names go into log lines and metrics. */
  private static String bounded(String text, int limit, String what)
      throws MalformedMessageException {
    atMost(text.length(), limit, "characters of a " + what);
    if (!text.chars().allMatch(c -> c > ' ' && c <= '~')) {
      throw new MalformedMessageException("a " + what + " has a character that is not printable");
    }
    return text;
  }

  private static boolean carriesAddresses(MemberState state) {
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

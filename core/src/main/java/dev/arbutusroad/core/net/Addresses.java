package dev.arbutusroad.core.net;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats socket addresses as {@code ip:port}. Host names are rejected, because hosts
 * address each other by IP address.
 */
public final class Addresses {
  private static final int MAX_PORT = 65_535;
  private static final Pattern IPV4 = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");
  private static final Pattern IPV6 = Pattern.compile("\\[([0-9a-fA-F:.]{2,45})]:(\\d{1,5})");

  private Addresses() {}

  /** Parses {@code 10.0.0.1:80} or {@code [::1]:80}; empty if the text is anything else. */
  public static Optional<InetSocketAddress> parse(String text) {
    Matcher ipv4 = IPV4.matcher(text);
    Matcher ipv6 = IPV6.matcher(text);
    Matcher matched = ipv4.matches() ? ipv4 : ipv6;
    if (matched == ipv6 && !ipv6.matches()) {
      return Optional.empty();
    }
    int port = Integer.parseInt(matched.group(2));
    return port > MAX_PORT ? Optional.empty() : literal(matched.group(1), port);
  }

  /**
   * Returns the socket address of an IP literal that is known to be valid.
   *
   * @throws IllegalArgumentException if it is not an IP literal or the port is out of range
   */
  public static InetSocketAddress of(String ip, int port) {
    String text = ip.indexOf(':') >= 0 ? "[" + ip + "]:" + port : ip + ":" + port;
    return parse(text)
        .orElseThrow(() -> new IllegalArgumentException("not an IP address and port: " + text));
  }

  /** Formats an address so that {@link #parse} can read it. */
  public static String format(InetSocketAddress address) {
    String ip = address.getAddress().getHostAddress();
    return ip.indexOf(':') >= 0
        ? "[" + ip + "]:" + address.getPort()
        : ip + ":" + address.getPort();
  }

  /** IP literals are parsed without a name lookup, so {@code getByName} has a single result. */
  @SuppressWarnings("AddressSelection")
  private static Optional<InetSocketAddress> literal(String ip, int port) {
    try {
      return Optional.of(new InetSocketAddress(InetAddress.getByName(ip), port));
    } catch (UnknownHostException e) {
      return Optional.empty();
    }
  }
}

package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.BitSet;
import java.util.List;

/**
 * Checks the host that a request names (RFC 9112, section 3.2). It selects the route, so that two
 * recipients must not read it differently.
 */
final class HostField {
  /**
   * The characters of a host name or an IP literal with an optional port (RFC 3986, section 3.2).
   */
  private static final BitSet ALLOWED = allowed();

  private HostField() {}

  private static BitSet allowed() {
    BitSet characters = new BitSet();
    characters.set('0', '9' + 1);
    characters.set('A', 'Z' + 1);
    characters.set('a', 'z' + 1);
    "-._~!$&'()*+,;=%:[]".chars().forEach(characters::set);
    return characters;
  }

  /** Checks that a request names at most one host, in its proper form. */
  static void check(HttpHeaders request) throws MalformedMessageException {
    List<String> hosts = request.getAll(HttpHeaderNames.HOST);
    if (hosts.size() > 1) {
      throw new MalformedMessageException("the request names more than one host");
    }
    if (!hosts.isEmpty() && !isHost(hosts.get(0))) {
      throw new MalformedMessageException("the host of the request has an invalid character");
    }
  }

  private static boolean isHost(String value) {
    for (int i = 0; i < value.length(); i++) {
      if (!ALLOWED.get(value.charAt(i))) {
        return false;
      }
    }
    return true;
  }
}

package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import java.util.Iterator;

/**
 * Checks the host that a request names (RFC 9112, section 3.2). It selects the route, so that two
 * recipients must not read it differently.
 */
final class HostField {
  /** The characters of a host name or an IP literal with a port (RFC 3986, section 3.2). */
  private static final boolean[] ALLOWED = allowed();

  private HostField() {}

  private static boolean[] allowed() {
    boolean[] characters = new boolean[Byte.MAX_VALUE + 1];
    for (int character = 0; character < characters.length; character++) {
      characters[character] =
          Character.isLetterOrDigit(character) || "-._~!$&'()*+,;=%:[]".indexOf(character) >= 0;
    }
    return characters;
  }

  /** Checks that a request names at most one host, in its proper form. */
  static void check(HttpMessage request) throws MalformedMessageException {
    Iterator<String> hosts = request.headers().valueStringIterator(HttpHeaderNames.HOST);
    if (hosts.hasNext() && !isHost(hosts.next())) {
      throw new MalformedMessageException("the host of the request has an invalid character");
    }
    if (hosts.hasNext()) {
      throw new MalformedMessageException("the request names more than one host");
    }
  }

  private static boolean isHost(String value) {
    for (int i = 0; i < value.length(); i++) {
      char character = value.charAt(i);
      if (character >= ALLOWED.length || !ALLOWED[character]) {
        return false;
      }
    }
    return true;
  }
}

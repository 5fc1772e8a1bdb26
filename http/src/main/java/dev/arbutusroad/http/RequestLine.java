package dev.arbutusroad.http;

/**
 * The grammar of a request line (RFC 9112, section 3). The target may contain all visible ASCII
 * characters, also those that should have been percent-encoded: they are forwarded unchanged.
 */
final class RequestLine implements StartLine {
  private enum Word {
    METHOD,
    TARGET,
    VERSION
  }

  private Word word = Word.METHOD;
  private int wordLength;

  @Override
  public void reset() {
    word = Word.METHOD;
    wordLength = 0;
  }

  @Override
  public int check(byte[] bytes, int start, int end) throws MalformedMessageException {
    int index = start;
    while (index < end && bytes[index] != Octets.CARRIAGE_RETURN) {
      int wordEnd =
          switch (word) {
            case METHOD -> skipMethod(bytes, index, end);
            case TARGET -> skipTarget(bytes, index, end);
            case VERSION -> skipVersion(bytes, index, end);
          };
      wordLength += wordEnd - index;
      index = wordEnd;
      if (index < end && bytes[index] != Octets.CARRIAGE_RETURN) {
        checkWordEnd(bytes[index]);
        index++;
      }
    }
    return index;
  }

  private static int skipMethod(byte[] bytes, int start, int end) {
    int index = start;
    while (index < end && Octets.isToken(bytes[index])) {
      index++;
    }
    return index;
  }

  private static int skipTarget(byte[] bytes, int start, int end) {
    int index = start;
    while (index < end && Octets.isVisible(bytes[index])) {
      index++;
    }
    return index;
  }

  private int skipVersion(byte[] bytes, int start, int end) {
    int index = start;
    while (index < end && Octets.isVersion(bytes[index], wordLength + index - start)) {
      index++;
    }
    return index;
  }

  private void checkWordEnd(byte octet) throws MalformedMessageException {
    if (octet == Octets.SPACE && wordLength > 0 && word != Word.VERSION) {
      word = word == Word.METHOD ? Word.TARGET : Word.VERSION;
      wordLength = 0;
    } else if (octet != Octets.SPACE && word == Word.TARGET) {
      throw new MalformedMessageException("the target of the request is not visible ASCII");
    } else {
      throw noRequestLine();
    }
  }

  @Override
  public void checkEnd() throws MalformedMessageException {
    if (word != Word.VERSION || wordLength < Octets.VERSION_LENGTH) {
      throw noRequestLine();
    }
  }

  private static MalformedMessageException noRequestLine() {
    return new MalformedMessageException("the request does not begin with a request line");
  }

  /** An empty line before the request line (RFC 9112, section 2.2). */
  @Override
  public int maxPrecedingBytes() {
    return Lines.CRLF_LENGTH;
  }
}

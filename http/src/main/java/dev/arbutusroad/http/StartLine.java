package dev.arbutusroad.http;

/** The grammar of the first line of a message. */
interface StartLine extends LineSyntax {
  /** Expects the line of the next message. */
  void reset();

  /** Returns how many bytes of a CRLF may precede the line, as some clients end a body with one. */
  int maxPrecedingBytes();
}

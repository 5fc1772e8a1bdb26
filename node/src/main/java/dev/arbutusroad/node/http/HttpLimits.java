package dev.arbutusroad.node.http;

/** Sizes that bound what one message may take, and sizes of its parts in memory. */
final class HttpLimits {
  static final int MAX_LINE_BYTES = 16 * 1_024;
  static final int MAX_HEADER_BYTES = 64 * 1_024;
  static final int CHUNK_BYTES = 32 * 1_024;

  private HttpLimits() {}
}

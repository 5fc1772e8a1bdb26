package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpDecoderConfig;

/** Sizes that bound what one message may take, and sizes of its parts in memory. */
final class HttpLimits {
  static final int MAX_LINE_BYTES = 16 * 1_024;
  static final int MAX_HEADER_BYTES = 64 * 1_024;
  static final int CHUNK_BYTES = 32 * 1_024;

  private HttpLimits() {}

  /** Puts the limits into the configuration of a decoder. */
  static HttpDecoderConfig decoding(HttpDecoderConfig config) {
    return config
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(CHUNK_BYTES);
  }
}

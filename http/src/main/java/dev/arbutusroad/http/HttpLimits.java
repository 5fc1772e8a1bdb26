package dev.arbutusroad.http;

import io.netty.handler.codec.http.HttpDecoderConfig;

/** Limits of the HTTP decoders for the head of a message and the parts of its body. */
final class HttpLimits {
  static final int MAX_LINE_BYTES = 16 * 1_024;
  static final int MAX_HEADER_BYTES = 64 * 1_024;
  static final int MAX_CHUNK_BYTES = 32 * 1_024;

  /** Interim answers (status 1xx) to one request. */
  static final int MAX_INTERIM_ANSWERS = 16;

  /** Bytes behind a malformed request that are read, so that its caller can read the refusal. */
  static final int MAX_DROPPED_BYTES = 1_024 * 1_024;

  private HttpLimits() {}

  /** Sets the limits on the configuration of a decoder. */
  static HttpDecoderConfig applyTo(HttpDecoderConfig config) {
    return config
        .setMaxInitialLineLength(MAX_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES);
  }
}

package dev.arbutusroad.tools.http;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.BufferAllocator;
import io.servicetalk.concurrent.api.Publisher;
import java.nio.ByteBuffer;
import java.util.Iterator;
import java.util.NoSuchElementException;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

/** Generates bodies of a given length with known content and computes digests. */
public final class Bodies {
  /** Longest generated body; bounded because its digest is computed on an event loop. */
  public static final int MAX_BYTES = 16 * 1024 * 1024;

  private static final int CHUNK_BYTES = 8 * 1024;
  private static final int PATTERN_MULTIPLIER = 31;
  private static final byte[] PATTERN = pattern();

  private Bodies() {}

  /** Returns a stream of exactly {@code bytes} bytes of the fixed pattern, produced on demand. */
  public static Publisher<Buffer> stream(BufferAllocator allocator, int bytes) {
    return Publisher.fromIterable(() -> new Chunks(allocator, bytes));
  }

  /** Returns the digest of a {@link #stream} of {@code bytes} bytes. */
  public static String digest(int bytes) {
    CRC32C checksum = new CRC32C();
    for (int sent = 0; sent < bytes; sent += CHUNK_BYTES) {
      checksum.update(PATTERN, 0, Math.min(CHUNK_BYTES, bytes - sent));
    }
    return format(checksum);
  }

  /** Returns the digest of a byte array. */
  public static String digest(byte[] bytes) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes);
    return format(checksum);
  }

  /** Adds the readable bytes of a buffer to a checksum without consuming them. */
  public static void update(Checksum checksum, Buffer buffer) {
    ByteBuffer bytes = buffer.toNioBuffer();
    checksum.update(bytes);
  }

  /** Formats a checksum as the value of the digest header. */
  public static String format(Checksum checksum) {
    return String.format("crc32c=%08x", checksum.getValue());
  }

  private static byte[] pattern() {
    byte[] pattern = new byte[CHUNK_BYTES];
    for (int i = 0; i < CHUNK_BYTES; i++) {
      pattern[i] = (byte) (i * PATTERN_MULTIPLIER + (i >> Byte.SIZE));
    }
    return pattern;
  }

  private static final class Chunks implements Iterator<Buffer> {
    private final BufferAllocator allocator;
    private int remainingBytes;

    Chunks(BufferAllocator allocator, int bytes) {
      this.allocator = allocator;
      this.remainingBytes = bytes;
    }

    @Override
    public boolean hasNext() {
      return remainingBytes > 0;
    }

    @Override
    public Buffer next() {
      if (!hasNext()) {
        throw new NoSuchElementException();
      }
      int length = Math.min(CHUNK_BYTES, remainingBytes);
      remainingBytes -= length;
      return allocator.wrap(PATTERN, 0, length);
    }
  }
}

package dev.arbutusroad.http;

import io.netty.buffer.ByteBuf;

/** The grammar of one part of a message: its head or its body. */
interface PartSyntax {
  /** A body of a known length, or one that ends with its connection: any bytes are allowed. */
  PartSyntax UNRESTRICTED = (buffer, start) -> start;

  /**
   * Checks the bytes of the part that have arrived. The start of an incomplete line may be left to
   * the next call.
   *
   * @param start the index of the first byte that has not been checked
   * @return the index behind the last byte that has been checked
   * @throws MalformedMessageException if the bytes are not part of a message
   */
  int check(ByteBuf buffer, int start) throws MalformedMessageException;
}

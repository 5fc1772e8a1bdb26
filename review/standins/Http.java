import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream and says whether each one was complete. */
final class Http {
  private Http() {}

  /** The head of a message. */
  record Head(String startLine, Map<String, String> headers) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    boolean isChunked() {
      return header("transfer-encoding").equalsIgnoreCase("chunked");
    }

    /** Returns the status of an answer. */
    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }
  }

  /** An answer as a client sees it; {@code end} is "complete" or says what is missing. */
  record Answer(Head head, byte[] body, String end) {
    boolean isComplete() {
      return end.equals("complete");
    }

    int status() {
      return head == null ? 0 : head.status();
    }
  }

  /** Reads a head; returns null if the stream ends before its first byte. */
  static Head readHead(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in); ; line = readLine(in)) {
      if (line == null) {
        throw new EOFException("the head is cut off");
      }
      if (line.isEmpty()) {
        return new Head(start, headers);
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
  }

  /** Reads the body of a request, which has a length or is chunked. */
  static byte[] readRequestBody(InputStream in, Head head) throws IOException {
    if (head.isChunked()) {
      return readChunked(in);
    }
    String length = head.header("content-length");
    return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
  }

  /** Reads a whole answer. Without a length, the answer ends with its connection. */
  static Answer readAnswer(InputStream in) {
    Head head = null;
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      head = readHead(in);
      if (head == null) {
        return new Answer(null, new byte[0], "closed without an answer");
      }
      if (head.isChunked()) {
        readChunked(in, body);
      } else if (!head.header("content-length").isEmpty()) {
        readExactly(in, Integer.parseInt(head.header("content-length")), body);
      } else {
        in.transferTo(body);
      }
      return new Answer(head, body.toByteArray(), "complete");
    } catch (IOException e) {
      return new Answer(head, body.toByteArray(), "cut: " + e.getMessage());
    }
  }

  private static byte[] readChunked(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    readChunked(in, body);
    return body.toByteArray();
  }

  private static void readChunked(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String line = readLine(in);
      if (line == null) {
        throw new EOFException("the last chunk is missing");
      }
      int size = Integer.parseInt(line.split(";")[0].trim(), 16);
      if (size == 0) {
        for (String trailer = readLine(in); ; trailer = readLine(in)) {
          if (trailer == null) {
            throw new EOFException("the end of the chunks is missing");
          }
          if (trailer.isEmpty()) {
            return;
          }
        }
      }
      readExactly(in, size, body);
      readLine(in);
    }
  }

  private static byte[] readExactly(InputStream in, int length) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    readExactly(in, length, body);
    return body.toByteArray();
  }

  private static void readExactly(InputStream in, int length, ByteArrayOutputStream body)
      throws IOException {
    byte[] buffer = new byte[8_192];
    int left = length;
    while (left > 0) {
      int count = in.read(buffer, 0, Math.min(left, buffer.length));
      if (count < 0) {
        throw new EOFException(left + " bytes of the body are missing");
      }
      body.write(buffer, 0, count);
      left -= count;
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); ; b = in.read()) {
      if (b < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("a line is cut off");
      }
      if (b == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(b);
    }
  }
}

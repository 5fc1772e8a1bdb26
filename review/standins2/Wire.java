import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** HTTP/1.1 over a blocking socket, for the stand-ins. */
final class Wire implements AutoCloseable {
  /** The head of a message; header names are in lower case. */
  record Head(String start, Map<String, String> fields) {
    String field(String name) {
      return fields.getOrDefault(name, "");
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String method() {
      return start.split(" ")[0];
    }

    String target() {
      return start.split(" ")[1];
    }

    boolean closes() {
      return field("connection").equalsIgnoreCase("close");
    }
  }

  final Socket socket;
  final PushbackInputStream in;
  final OutputStream out;

  Wire(Socket socket) throws IOException {
    this.socket = socket;
    socket.setTcpNoDelay(true);
    in = new PushbackInputStream(new java.io.BufferedInputStream(socket.getInputStream()), 1);
    out = socket.getOutputStream();
  }

  static Wire connect(int port, int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
    return new Wire(socket);
  }

  /** Sends raw text or bytes in one write. */
  void send(String head, byte[] body) throws IOException {
    byte[] text = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[text.length + body.length];
    System.arraycopy(text, 0, all, 0, text.length);
    System.arraycopy(body, 0, all, text.length, body.length);
    out.write(all);
    out.flush();
  }

  void send(String head) throws IOException {
    send(head, new byte[0]);
  }

  /** Reads a head; null if the peer has closed before its first byte. */
  Head readHead() throws IOException {
    String start = readLine(true);
    if (start == null) {
      return null;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    for (String line = readLine(false); !line.isEmpty(); line = readLine(false)) {
      int colon = line.indexOf(':');
      if (colon < 0) {
        throw new IOException("no header field: " + line);
      }
      fields.put(
          line.substring(0, colon).toLowerCase(java.util.Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    return new Head(start, fields);
  }

  private String readLine(boolean mayEnd) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        if (mayEnd && line.size() == 0) {
          return null;
        }
        throw new EOFException("the connection ended within a head");
      }
      if (c != '\r') {
        line.write(c);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads the body of a message; one without a length ends with the connection. */
  byte[] readBody(Head head, boolean isAnswer) throws IOException {
    if (head.field("transfer-encoding").toLowerCase(java.util.Locale.ROOT).contains("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        int size = Integer.parseInt(readLine(false).split(";")[0].trim(), 16);
        if (size == 0) {
          while (!readLine(false).isEmpty()) {}
          return body.toByteArray();
        }
        body.write(readExactly(size));
        readLine(false);
      }
    }
    String length = head.field("content-length");
    if (!length.isEmpty()) {
      return readExactly(Integer.parseInt(length));
    }
    return isAnswer ? in.readAllBytes() : new byte[0];
  }

  byte[] readExactly(int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the connection ended within a body");
    }
    return bytes;
  }

  /** Waits; returns early with false if the peer closes or resets the connection meanwhile. */
  boolean stayOpen(long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    try {
      for (long left = millis; left > 0; left = (end - System.nanoTime()) / 1_000_000) {
        socket.setSoTimeout((int) Math.max(1, left));
        try {
          int c = in.read();
          if (c < 0) {
            return false;
          }
          in.unread(c);
          Thread.sleep(Math.max(0, (end - System.nanoTime()) / 1_000_000));
        } catch (SocketTimeoutException e) {
          // Nothing has arrived in the meantime.
        }
      }
      socket.setSoTimeout(0);
      return true;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      return false;
    }
  }

  void reset() {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }
}

package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.node.claim.NoClaims;
import dev.arbutusroad.platform.PlatformCallProtocol;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an answer without a length that is given before the upload has been read, is reset
 * while the upload is being written, and reaches the client as a complete success.
 */
@Timeout(120)
final class EarlyAnswerTest {
  private static final int UPLOADS = 40;
  private static final int UPLOAD_BYTES = 4 << 20;
  private static final int PART_BYTES = 1 << 14;
  private static final int CLIENT_TIMEOUT_MILLIS = 30_000;
  private static final Pattern REQUEST_ID = Pattern.compile("(?i)request-id: ([^\\r]+)");

  private final Closer closer = new Closer();
  private final AtomicInteger answers = new AtomicInteger();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void answerThatIsResetIsNotComplete(boolean chunked) throws Exception {
    ServerSocket target =
        closer.register(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
    startDaemon(() -> acceptUploads(target));
    LoopbackNodes nodes =
        closer.register(
            new LoopbackNodes(
                LoopbackNodes.policy(true, 0, 20_000), new NoClaims(), new PlatformCallProtocol()));
    nodes.serving(
        "drawings", new InetSocketAddress(target.getInetAddress(), target.getLocalPort()));
    InetSocketAddress entry = nodes.entry();
    for (int i = 0; i < UPLOADS; i++) {
      String received = upload(entry, i, chunked);
      if (received.startsWith("HTTP/1.1 2")) {
        assertThat(received).as("upload %d", i).doesNotEndWith("0\r\n\r\n");
      }
    }
    assertThat(answers).hasValue(UPLOADS);
  }

  private void acceptUploads(ServerSocket target) {
    try {
      while (true) {
        answerAndReset(target.accept());
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  /** Reads a growing part of each upload first, so that the resets meet different writes. */
  private void answerAndReset(Socket connection) throws IOException {
    try (connection) {
      InputStream in = connection.getInputStream();
      StringBuilder head = new StringBuilder();
      for (int octet = in.read(); octet >= 0; octet = in.read()) {
        head.append((char) octet);
        if (head.indexOf("\r\n\r\n") >= 0) {
          break;
        }
      }
      in.skipNBytes((long) answers.getAndIncrement() * PART_BYTES);
      Matcher id = REQUEST_ID.matcher(head);
      assertThat(id.find()).as(head.toString()).isTrue();
      RawTarget.write(
          connection.getOutputStream(),
          "HTTP/1.1 200 OK\r\nRequest-Id: " + id.group(1) + "\r\nServer-Seal: s\r\n\r\nhalf");
      connection.setSoLinger(true, 0);
    }
  }

  /**
   * Returns all that a client receives that uploads until its connection ends.
   *
   * @param number makes the upload differ from the others, whose resets look like deaths
   */
  private static String upload(InetSocketAddress entry, int number, boolean chunked)
      throws Exception {
    StringBuilder received = new StringBuilder();
    try (Socket client = new Socket(entry.getAddress(), entry.getPort())) {
      client.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
      startDaemon(() -> write(client, number, chunked));
      InputStream in = client.getInputStream();
      for (int octet = in.read(); octet >= 0; octet = in.read()) {
        received.append((char) octet);
      }
    } catch (SocketException e) {
      received.append("(reset)");
    }
    return received.toString();
  }

  private static void write(Socket client, int number, boolean chunked) {
    try {
      OutputStream out = client.getOutputStream();
      String framing = chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + UPLOAD_BYTES;
      writeText(
          out,
          "POST /%d HTTP/1.1\r\nHost: drawings\r\nRequest-Id: r%d\r\nConnection: close\r\n"
                  .formatted(number, number)
              + framing
              + "\r\n\r\n");
      byte[] part = new byte[PART_BYTES];
      for (int written = 0; written < UPLOAD_BYTES; written += part.length) {
        writeText(out, chunked ? Integer.toHexString(part.length) + "\r\n" : "");
        out.write(part);
        writeText(out, chunked ? "\r\n" : "");
      }
      writeText(out, chunked ? "0\r\n\r\n" : "");
    } catch (IOException e) {
      // The node has closed the connection, as the answer is broken.
    }
  }

  private static void writeText(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "early-answer");
    thread.setDaemon(true);
    thread.start();
  }
}

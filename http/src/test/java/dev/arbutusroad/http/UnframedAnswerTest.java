package dev.arbutusroad.http;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.resource.Closer;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against an answer without a length that is reset and looks complete. */
@Timeout(60)
final class UnframedAnswerTest {
  private static final String START_OF_ANSWER = "HTTP/1.1 200 OK\r\n\r\nhalf of";
  private static final int PART_BYTES = 100_000;

  private final Closer closer = new Closer();
  private final AnswerReader client = new AnswerReader(closer);
  private ServerSocket listener;

  @BeforeEach
  void listen() throws IOException {
    listener = closer.register(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
  }

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void answerIsCompleteWhenTheServerClosesItsConnection() throws Exception {
    CompletableFuture<AnswerReader.Result> result = client.start(address(), Body.empty());
    try (Socket connection = listener.accept()) {
      RawServer.write(connection.getOutputStream(), START_OF_ANSWER + " it");
    }
    assertThat(await(result).failure()).isNull();
    assertThat(await(result).body()).isEqualTo("half of it");
  }

  /** The close must not return the connection of the completed answer to the pool. */
  @Test
  void connectionOfACompletedAnswerIsNotReused() throws Exception {
    for (int i = 0; i < 3; i++) {
      answerIsCompleteWhenTheServerClosesItsConnection();
    }
  }

  @Test
  void resetSeenByAReadFailsTheAnswer() throws Exception {
    CompletableFuture<AnswerReader.Result> result = client.start(address(), Body.empty());
    Socket connection = listener.accept();
    RawServer.write(connection.getOutputStream(), START_OF_ANSWER);
    reset(connection);
    assertThat(await(result).failure()).isNotNull();
  }

  /** The event loop is kept from reading until a write has failed. */
  @Test
  void resetSeenByAWriteFailsTheAnswer() throws Exception {
    Body upload = new Body(new UnlimitedSource());
    CompletableFuture<AnswerReader.Result> result = client.start(address(), upload);
    Future<?> started = client.thread().loop().submit(() -> addPart(upload));
    Socket connection = listener.accept();
    started.get();
    RawServer.write(connection.getOutputStream(), START_OF_ANSWER);
    awaitAnswer(result);
    CountDownLatch loopBlocked = new CountDownLatch(1);
    CountDownLatch wasReset = new CountDownLatch(1);
    Future<?> write =
        client
            .thread()
            .loop()
            .submit(
                () -> {
                  loopBlocked.countDown();
                  wasReset.await();
                  addPart(upload);
                  return null;
                });
    loopBlocked.await();
    reset(connection);
    wasReset.countDown();
    write.get();
    assertThat(await(result).failure()).isNotNull();
    assertThat(await(result).body()).isEqualTo("half of");
  }

  private static void addPart(Body upload) {
    upload.add(Unpooled.wrappedBuffer(new byte[PART_BYTES]));
    upload.flush();
  }

  /** Waits until the client has read what the server has written so far. */
  private void awaitAnswer(CompletableFuture<AnswerReader.Result> result) throws Exception {
    while (client.charactersRead() < "half of".length()) {
      assertThat(result).isNotDone();
      Thread.sleep(1);
    }
  }

  /** Closes the connection as a crash does. */
  private static void reset(Socket connection) throws IOException {
    connection.setSoLinger(true, 0);
    connection.close();
  }

  private InetSocketAddress address() {
    return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
  }

  private static AnswerReader.Result await(CompletableFuture<AnswerReader.Result> result)
      throws Exception {
    return result.get(30, TimeUnit.SECONDS);
  }

  private static final class UnlimitedSource implements BodySource {
    @Override
    public void setReading(boolean reading) {}

    @Override
    public void cancel() {}
  }
}
